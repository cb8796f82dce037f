import type {IncomingMessage} from 'node:http';
import {getHeadMemory, getReceivedHeadMemory} from '../head_memory.js';
import type {BodyBuffers, BodyReservation} from './body_buffers.js';
import {countLines} from './count_lines.js';

/** Size of a head below which its memory is not counted, however many fields it has, in bytes. */
const SMALL_HEAD_BYTES = 1024;

/** Memory of a head that every request may use. */
const NOT_COUNTED: Disposable = {[Symbol.dispose]: () => {}};

/** Counts the memory of one head after the other on a connection, and of the trailers of bodies. */
export class HeadMeter implements Disposable {
  private receivedBytes = 0;
  private receivedLines = 0;
  /** Whether a head has arrived whole since the last part. */
  private hasFinished = false;
  /** Data of the body in chunks that had been received with the last part, in bytes, if any. */
  private bodyBytes?: number;
  /** Memory of what is being received; undefined while none is counted. */
  private reservation?: BodyReservation;

  /**
   * Creates the meter of a connection.
   * @param buffers - Memory for the heads of all connections.
   */
  constructor(private readonly buffers: BodyBuffers) {}

  /**
   * Counts a part that has been parsed, unless a head has ended in it. A part of a body in chunks
   * counts as one of its trailers if it has added no data.
   * @param part - The part.
   * @param bodyBytes - Data of the body in chunks that is being received so far, in bytes; undefined
   * if a head is.
   * @returns Whether there is memory for what has arrived of the head or trailers.
   */
  count(part: Buffer, bodyBytes?: number): boolean {
    const hasBodyEnded =
      this.bodyBytes !== undefined && bodyBytes === undefined;
    const hasData = bodyBytes !== undefined && bodyBytes !== this.bodyBytes;
    const isCounted = !this.hasFinished && !hasBodyEnded && !hasData;
    this.hasFinished = false;
    this.bodyBytes = bodyBytes;
    if (isCounted) return this.add(part);
    this.reset();
    return true;
  }

  /**
   * Counts a head that has arrived whole, and begins with the next one.
   * @param req - The request.
   * @returns Its memory, which the caller disposes of; undefined if there is none for it.
   */
  finish({rawHeaders}: IncomingMessage): Disposable | undefined {
    this.hasFinished = true;
    this.bodyBytes = undefined;
    // What has been counted of it is counted anew, and the fields are known only now.
    this.reset();
    const bytes = getReceivedHeadMemory(rawHeaders);
    if (bytes === 0) return NOT_COUNTED;
    const reservation = this.buffers.open();
    if (reservation.growTo(bytes)) return reservation;
    return undefined;
  }

  [Symbol.dispose](): void {
    this.reset();
  }

  private add(part: Buffer): boolean {
    this.receivedBytes += part.length;
    if (this.receivedBytes <= SMALL_HEAD_BYTES) return true;
    this.receivedLines += countLines(part);
    const bytes = getHeadMemory(this.receivedLines, this.receivedBytes);
    this.reservation ??= this.buffers.open();
    return this.reservation.growTo(bytes);
  }

  /** Releases what was counted of a head or of trailers. */
  private reset(): void {
    this.receivedBytes = 0;
    this.receivedLines = 0;
    this.reservation?.[Symbol.dispose]();
    this.reservation = undefined;
  }
}
