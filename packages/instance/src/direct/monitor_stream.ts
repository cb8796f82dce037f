import type {IncomingMessage, ServerResponse} from 'node:http';
import type {TimerService} from '@primrosestage/common';
import {isResponseComplete} from './endpoint_agent.js';

/** Holds what guarding the rest of an answer needs. */
export interface StreamMonitorOptions {
  timers: TimerService;
  /** The response to the caller. */
  res: ServerResponse;
  /** Time after which an answer without an end is broken off, in milliseconds. */
  timeoutMs: number;
  /** Takes over that the endpoint did not bring its answer to an end. */
  onIncomplete: (reason: string) => void;
}

/**
 * Bounds the time of an answer that is passed on as it comes, and reports one that has no end:
 * an endpoint may send bytes until its connection is closed.
 * @param bodyStream - The rest of the endpoint's answer.
 * @param options - Bound and report.
 */
export function monitorStream(
  bodyStream: IncomingMessage,
  options: StreamMonitorOptions,
): void {
  const {timers, res, timeoutMs, onIncomplete} = options;
  let reason = 'answer truncated';
  const timeout = timers.after(timeoutMs, () => {
    reason = 'no end of the answer by the deadline';
    bodyStream.destroy();
  });
  let isSettled = false;
  const handleCallerClose = () => {
    isSettled = true;
  };
  res.once('close', handleCallerClose);
  const reportIncomplete = () => {
    const isComplete =
      bodyStream.readableEnded && isResponseComplete(bodyStream);
    if (!isSettled && !isComplete) onIncomplete(reason);
    isSettled = true;
  };
  bodyStream.once('aborted', reportIncomplete);
  bodyStream.once('close', () => {
    timeout[Symbol.dispose]();
    reportIncomplete();
  });
}
