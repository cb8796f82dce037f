import {discardResponse, type EndpointResponse} from './attempt.js';
import type {OpenAttempt} from './start_attempt.js';

/** A response of an endpoint and the attempt that it ended. */
export interface ReceivedResponse {
  readonly response: EndpointResponse;
  readonly from: OpenAttempt;
}

/** Holds an error response of an endpoint while a retry may still get a better one. */
export class ResponseHolder {
  private held?: ReceivedResponse;

  /** Whether a response is held that has been received whole. */
  get hasWhole(): boolean {
    return this.held !== undefined && !this.held.response.bodyStream;
  }

  /**
   * Holds a response. One that is complete is kept; one that is still being received may yet break.
   * @param received - The response.
   */
  hold(received: ReceivedResponse): void {
    if (this.held && !this.held.response.bodyStream) {
      discardResponse(received);
      return;
    }
    this.discard();
    this.held = received;
  }

  /**
   * Removes the held response, or discards it if it cannot be forwarded as a whole.
   * @param canStream - Whether there is time to forward one that is still being received.
   * @returns The response, or undefined if there is none.
   */
  take(canStream: boolean): ReceivedResponse | undefined {
    const {held} = this;
    const bodyStream = held?.response.bodyStream;
    if (bodyStream && (!canStream || bodyStream.destroyed)) this.discard();
    const taken = this.held;
    this.held = undefined;
    return taken;
  }

  /** Discards the held response and closes its connection if it is still being received. */
  discard(): void {
    if (this.held) discardResponse(this.held);
    this.held = undefined;
  }
}
