import type {IncomingMessage} from 'node:http';
import {getHeadMemory, getReceivedHeadMemory} from '../head_memory.js';
import type {BodyBuffers, BodyReservation} from './body_buffers.js';
import {countLines} from './count_lines.js';

/** Size of a head below which its memory is not counted, however many fields it has, in bytes. */
const SMALL_HEAD_BYTES = 1024;

/** Counts the memory of one head after the other on a connection, and of the trailers of bodies. */
export class HeadMeter implements Disposable {
  private receivedBytes = 0;
  private receivedLines = 0;
  private reservation: BodyReservation;

  /**
   * Creates the meter of a connection.
   * @param buffers - Memory for the heads of all connections.
   */
  constructor(private readonly buffers: BodyBuffers) {
    this.reservation = buffers.open();
  }

  /**
   * Counts a part of a head, or of trailers, that has not arrived whole.
   * @param part - The part.
   * @returns Whether there is memory for what has arrived.
   */
  add(part: Buffer): boolean {
    this.receivedBytes += part.length;
    if (this.receivedBytes <= SMALL_HEAD_BYTES) return true;
    this.receivedLines += countLines(part);
    return this.reservation.growTo(
      getHeadMemory(this.receivedLines, this.receivedBytes),
    );
  }

  /** Releases what was counted of a head or of trailers. */
  reset(): void {
    if (this.receivedBytes === 0) return;
    this.reservation[Symbol.dispose]();
    this.begin();
  }

  /**
   * Counts a head that has arrived whole, and begins with the next one.
   * @param req - The request.
   * @returns Its memory, which the caller disposes of; undefined if there is none for it.
   */
  finish({rawHeaders}: IncomingMessage): BodyReservation | undefined {
    const {reservation} = this;
    this.begin();
    if (reservation.growTo(getReceivedHeadMemory(rawHeaders))) {
      return reservation;
    }
    reservation[Symbol.dispose]();
    return undefined;
  }

  [Symbol.dispose](): void {
    this.reservation[Symbol.dispose]();
  }

  private begin(): void {
    this.receivedBytes = 0;
    this.receivedLines = 0;
    this.reservation = this.buffers.open();
  }
}
