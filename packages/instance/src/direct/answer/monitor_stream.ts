import type {IncomingMessage, ServerResponse} from 'node:http';
import type {TimerService} from '@primrosestage/common';
import {isResponseComplete} from '../send/endpoint_agent.js';

/** Configures the monitoring of a streamed response. */
export interface StreamMonitorOptions {
  timers: TimerService;
  /** The response to the caller. */
  res: ServerResponse;
  /** Time after which an unfinished response is aborted, in milliseconds. */
  timeoutMs: number;
  /** Called once if the endpoint does not complete the response. */
  onIncomplete: (reason: string) => void;
}

/**
 * Limits the duration of a streamed response and reports one that is not completed. Without the
 * limit, an endpoint could send data until its connection is closed.
 * @param bodyStream - The remaining body of the endpoint's response.
 * @param options - Timeout and callback.
 */
export function monitorStream(
  bodyStream: IncomingMessage,
  options: StreamMonitorOptions,
): void {
  const {timers, res, timeoutMs, onIncomplete} = options;
  let reason = 'answer truncated';
  const timeout = timers.after(timeoutMs, () => {
    reason = 'response not complete by the deadline';
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
