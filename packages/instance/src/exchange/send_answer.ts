import type {ServerResponse} from 'node:http';
import {
  getErrorMessage,
  HeaderName,
  Invariant,
  type InvariantMonitor,
  Outcome,
  type TimerService,
} from '@primrosestage/common';
import type {Answer} from './attempt_result.js';

const CLOSED_BY_CALLER = 'the caller closed the connection';

/** Configures the sending of an answer. */
export interface SendAnswerOptions {
  requestId: string;
  /** Whether the request was HEAD, whose answer has no body. */
  isHead: boolean;
  timers: TimerService;
  monitor: InvariantMonitor;
  /** Maximum time to wait for the caller to read, in milliseconds. */
  progressTimeoutMs: number;
  /** Delays the next read, for example to limit the transfer rate of a link. */
  pace?(bytes: number): Promise<void> | undefined;
}

/** Describes why the caller did not receive all of an answer. */
export interface SendAnswerFailure {
  readonly message: string;
  /** Whether the caller closed the connection or stopped reading. */
  readonly isByCaller: boolean;
}

/**
 * Streams an answer to the caller. If the answer is truncated, or the caller stops reading, the
 * caller's connection is destroyed, so that a truncated answer never looks complete.
 * @param answer - The answer.
 * @param res - The response, whose headers are not yet sent.
 * @param options - Clock, monitor and timeout.
 * @returns Why the caller did not receive all of it; undefined if it did.
 */
export async function sendAnswer(
  answer: Answer,
  res: ServerResponse,
  options: SendAnswerOptions,
): Promise<SendAnswerFailure | undefined> {
  const {freeSlots, originalStatus} = answer;
  res.writeHead(answer.status, {
    ...answer.headers,
    [HeaderName.RequestId]: options.requestId,
    [HeaderName.Outcome]: Outcome.Answered,
    ...(freeSlots === undefined
      ? {}
      : {[HeaderName.FreeSlots]: String(freeSlots)}),
    ...(originalStatus === undefined
      ? {}
      : {[HeaderName.OriginalStatus]: originalStatus}),
  });
  // Otherwise Node.js holds the headers back until the first byte of the body.
  res.flushHeaders();
  let bytes = 0;
  try {
    for await (const chunk of answer.chunks) {
      bytes += chunk.length;
      const canWriteMore = res.write(chunk);
      if (!canWriteMore && !(await waitForDrain(res, options))) {
        return abortAnswer(answer, res, 'the caller stopped reading', true);
      }
      if (res.destroyed) {
        return abortAnswer(answer, res, CLOSED_BY_CALLER, true);
      }
      await options.pace?.(chunk.length);
    }
  } catch (err) {
    return abortAnswer(answer, res, getErrorMessage(err), res.destroyed);
  }
  checkLength(answer, bytes, options);
  await new Promise<void>(resolve => {
    res.once('close', resolve);
    res.end(resolve);
  });
  return res.writableFinished
    ? undefined
    : {message: CLOSED_BY_CALLER, isByCaller: true};
}

function abortAnswer(
  answer: Answer,
  res: ServerResponse,
  message: string,
  isByCaller: boolean,
): SendAnswerFailure {
  answer.cancel();
  res.destroy();
  return {message, isByCaller};
}

function checkLength(
  answer: Answer,
  bytes: number,
  options: SendAnswerOptions,
): void {
  const announced = answer.headers['content-length'];
  const isBodiless =
    options.isHead || answer.status === 204 || answer.status === 304;
  if (announced === undefined || isBodiless) return;
  options.monitor.check(
    Invariant.CompleteResponse,
    Number(announced) === bytes,
    {
      requestId: options.requestId,
      announced,
      bytes,
    },
  );
}

/** Waits until the write buffer has drained or the response is closed; false on a timeout. */
function waitForDrain(
  res: ServerResponse,
  {timers, progressTimeoutMs}: SendAnswerOptions,
): Promise<boolean> {
  if (res.destroyed) return Promise.resolve(true);
  return new Promise(resolve => {
    const settle = (isDrained: boolean) => {
      void timeout[Symbol.asyncDispose]();
      res.off('drain', onDrainOrClose);
      res.off('close', onDrainOrClose);
      resolve(isDrained);
    };
    const onDrainOrClose = () => settle(true);
    const timeout = timers.after(progressTimeoutMs, () => settle(false));
    res.on('drain', onDrainOrClose);
    res.on('close', onDrainOrClose);
  });
}
