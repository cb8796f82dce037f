import http from 'node:http';
import {
  getErrorMessage,
  type Step,
  StepError,
  type TimerService,
} from '@primrosestage/common';
import {parseAddress} from './parse_address.js';

/** Describes one HTTP exchange with the next process on a request's way. */
export interface HopOptions {
  step: Step;
  /** Name of the peer in errors. */
  peer: string;
  /** `host:port` of the peer. */
  address: string;
  method: string;
  path: string;
  headers: http.OutgoingHttpHeaders;
  /** Whole body, or the caller's request to stream from. */
  body: Buffer | http.IncomingMessage;
  agent: http.Agent;
  timers: TimerService;
  /** Time left for the answer to begin, in milliseconds. */
  deadlineMs: number;
  /** Longest time without a byte in either direction, in milliseconds. */
  progressTimeoutMs: number;
  /** Cancels the exchange. */
  signal: AbortSignal;
}

/** Holds the answer of a hop, or why there is none. */
export type HopResult =
  | {readonly res: http.IncomingMessage}
  | {
      readonly res?: undefined;
      readonly err: StepError;
      readonly mayHaveRun: boolean;
    };

/**
 * Sends a request to the next process and waits for the head of the answer.
 * @param options - Peer, request, deadline and cancellation.
 * @returns The answer whose body is still to be read, or the failure; `mayHaveRun`
 *     is false only where no byte reached a connected peer.
 */
export function sendHop(options: HopOptions): Promise<HopResult> {
  return new Promise(resolve => {
    const {host, port} = parseAddress(options.address);
    let isConnected = false;
    const req = http.request({
      host,
      port,
      method: options.method,
      path: options.path,
      headers: options.headers,
      agent: options.agent,
      signal: options.signal,
    });
    const fail = (err: unknown) => {
      deadline[Symbol.dispose]();
      resolve({
        mayHaveRun: isConnected,
        err: new StepError(
          {step: options.step, peer: options.peer, cause: err},
          `no answer from ${options.peer}: ${getErrorMessage(err)}`,
        ),
      });
    };
    const abort = (reason: string) =>
      req.destroy(
        new StepError({step: options.step, peer: options.peer}, reason),
      );
    const deadline = options.timers.after(options.deadlineMs, () =>
      abort(`deadline of ${Math.round(options.deadlineMs)} ms passed`),
    );
    req.setTimeout(options.progressTimeoutMs, () =>
      abort(`no progress for ${options.progressTimeoutMs} ms`),
    );
    req.on('socket', socket => {
      if (!socket.connecting) isConnected = true;
      else socket.once('connect', () => (isConnected = true));
    });
    req.on('error', fail);
    req.on('response', res => {
      deadline[Symbol.dispose]();
      req.off('error', fail);
      req.on('error', err => res.destroy(err));
      resolve({res});
    });
    if (Buffer.isBuffer(options.body)) req.end(options.body);
    else options.body.pipe(req);
  });
}
