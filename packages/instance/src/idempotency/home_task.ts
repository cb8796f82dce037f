import {
  Invariant,
  type InvariantMonitor,
  createLinkedAbortController,
  Outcome,
  Step,
  type TimerService,
} from '@primrosestage/common';
import {
  type IdempotencyKey,
  KEY_EPOCH_MS,
  KEY_LIFETIME_MS,
  KeyAction,
  type KeyRequest,
  type KeyTable,
  MAX_RECORDED_BODY_BYTES,
  type RecordedAnswer,
  getServiceKey,
} from '@primrosestage/steering';
import type {Answer, AttemptResult, Refusal} from '../exchange/index.js';
import type {RequestBody} from '../http/index.js';
import type {Dispatcher} from '../relay/index.js';
import type {RequestContext} from '../request_context.js';
import {createBufferedAnswer} from './create_buffered_answer.js';

/** Configures the execution of requests that carry a key. */
export interface HomeTaskOptions {
  selfId: string;
  dispatcher: Dispatcher;
  timers: TimerService;
  monitor: InvariantMonitor;
}

/** Runs requests that carry a key at most once and answers their repeats from the record. */
export class HomeTask implements AsyncDisposable {
  private readonly runningRequests = new Map<string, Promise<void>>();
  /**
   * Times at which requests were started by run id, in monotonic milliseconds, to check the table's
   * decisions independently of it.
   */
  private readonly startedRequests = new Map<string, number>();
  private readonly cleanupSchedule: AsyncDisposable;

  constructor(private readonly options: HomeTaskOptions) {
    this.cleanupSchedule = options.timers.every(KEY_EPOCH_MS, () =>
      this.forgetStartedRequests(),
    );
  }

  /** Waits until no request that carries a key is running. */
  async waitUntilIdle(): Promise<void> {
    while (this.runningRequests.size > 0)
      await Promise.all(this.runningRequests.values());
  }

  /**
   * Answers a request from its record, or runs it.
   * @param table - The table of the key's home.
   * @param key - The key.
   * @param ctx - The request's context.
   * @param body - Its body.
   * @param signal - Ends the wait for another execution of the same key; also cancels the run if
   *   the body is not buffered.
   */
  async execute(
    table: KeyTable,
    key: IdempotencyKey,
    ctx: RequestContext,
    body: RequestBody,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const {timers} = this.options;
    const request: KeyRequest = {
      key,
      scope: getServiceKey(ctx.service),
      fingerprint: `${ctx.method} ${ctx.path}`,
      isFirstAttempt: ctx.isFirstAttempt,
    };
    const id = getRunId(request);
    for (;;) {
      const decision = table.begin(request, timers.now());
      switch (decision.action) {
        case KeyAction.Run:
          return this.run(table, request, ctx, body, signal);
        case KeyAction.Wait: {
          const isEnded = await this.waitForEnd(id, ctx, signal);
          if (isEnded) continue;
          return this.refuse(
            504,
            Outcome.Unknown,
            'the first attempt still runs',
          );
        }
        case KeyAction.Replay:
          return {answer: createReplay(decision.answer!)};
        case KeyAction.RefuseInvalid:
          return this.refuse(400, Outcome.NotRun, decision.reason);
        case KeyAction.RefuseNotRun:
          return this.refuse(503, Outcome.NotRun, decision.reason);
        case KeyAction.RefuseUnknown:
          return this.refuse(502, Outcome.Unknown, decision.reason);
      }
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.cleanupSchedule[Symbol.asyncDispose]();
  }

  /** Forgets the requests whose keys are no longer accepted. */
  private forgetStartedRequests(): void {
    const oldest = this.options.timers.now() - KEY_LIFETIME_MS;
    for (const [id, startedAt] of this.startedRequests) {
      if (startedAt < oldest) this.startedRequests.delete(id);
    }
  }

  /**
   * Runs a request. If the whole body is buffered, the run is not cancelled when the caller
   * disconnects, so that a repeat after a lost connection gets the answer.
   */
  private run(
    table: KeyTable,
    request: KeyRequest,
    ctx: RequestContext,
    body: RequestBody,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const id = getRunId(request);
    this.options.monitor.check(
      Invariant.AtMostOnce,
      !this.startedRequests.has(id),
      {
        requestId: ctx.requestId,
        key: ctx.idempotencyKey,
      },
    );
    this.startedRequests.set(id, this.options.timers.now());
    const runSignal =
      body.bytes === undefined ? signal : new AbortController().signal;
    let resolveEnded = () => {};
    const ended = new Promise<void>(resolve => (resolveEnded = resolve));
    this.runningRequests.set(id, ended);
    const end = (record: () => void) => {
      record();
      this.runningRequests.delete(id);
      resolveEnded();
    };
    return this.dispatchAndRecord(table, request, ctx, body, runSignal, end);
  }

  private async dispatchAndRecord(
    table: KeyTable,
    request: KeyRequest,
    ctx: RequestContext,
    body: RequestBody,
    signal: AbortSignal,
    end: (record: () => void) => void,
  ): Promise<AttemptResult> {
    const recordUnknown = () => table.recordUnknown(request);
    let result: AttemptResult;
    try {
      result = await this.options.dispatcher.dispatch(ctx, body, signal);
    } catch (err) {
      end(recordUnknown);
      throw err;
    }
    if (result.refusal) {
      const isNotRun = result.refusal.outcome === Outcome.NotRun;
      if (isNotRun) this.startedRequests.delete(getRunId(request));
      end(isNotRun ? () => table.recordNotRun(request) : recordUnknown);
      return result;
    }
    const {answer} = result;
    const reader = answer.chunks[Symbol.asyncIterator]();
    const head: Buffer[] = [];
    try {
      const fitsRecord = await readUpTo(reader, head, MAX_RECORDED_BODY_BYTES);
      if (fitsRecord) {
        const recorded = createRecord(answer, Buffer.concat(head));
        end(() => table.recordResponse(request, recorded));
        return {
          answer: {...createReplay(recorded), freeSlots: answer.freeSlots},
        };
      }
    } catch (err) {
      end(recordUnknown);
      answer.cancel();
      return this.refuse(502, Outcome.Unknown, String(err));
    }
    const recordWithoutBody = () =>
      table.recordResponse(request, createRecord(answer, undefined));
    return {
      answer: streamToEnd(answer, head, reader, isComplete =>
        end(isComplete ? recordWithoutBody : recordUnknown),
      ),
    };
  }

  private async waitForEnd(
    id: string,
    ctx: RequestContext,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {timers} = this.options;
    const remainingMs = ctx.deadlineAt - timers.now();
    if (remainingMs <= 0 || signal.aborted) return false;
    const abort = createLinkedAbortController(signal);
    const timeout = timers.sleep(remainingMs, abort.signal).then(() => false);
    const ended = (this.runningRequests.get(id) ?? Promise.resolve()).then(
      () => true,
    );
    try {
      return await Promise.race([ended, timeout]);
    } finally {
      abort.abort();
    }
  }

  private refuse(
    status: number,
    outcome: Refusal['outcome'],
    message = '',
  ): AttemptResult {
    const peer = this.options.selfId;
    return {refusal: {status, outcome, step: Step.Ingress, peer, message}};
  }
}

function getRunId({scope, key}: KeyRequest): string {
  return `${scope}/${key.home}.${key.incarnation}.${key.epoch}.${key.unique}`;
}

/** Reads a body into `head`; false if it is longer than `maxBytes`. */
async function readUpTo(
  reader: AsyncIterator<Buffer>,
  head: Buffer[],
  maxBytes: number,
): Promise<boolean> {
  for (let bytes = 0; bytes <= maxBytes;) {
    const {value, done} = await reader.next();
    if (done) return true;
    head.push(value);
    bytes += value.length;
  }
  return false;
}

function createRecord(
  {status, headers}: Answer,
  body: Buffer | undefined,
): RecordedAnswer {
  const recordedHeaders: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || name === 'content-length') continue;
    recordedHeaders[name] = Array.isArray(value) ? value : String(value);
  }
  return {status, headers: recordedHeaders, body};
}

function createReplay({status, headers, body}: RecordedAnswer): Answer {
  if (body) return createBufferedAnswer(status, headers, Buffer.from(body));
  const text = JSON.stringify({
    outcome: Outcome.Answered,
    message: 'the answer was too long to keep for a repeat',
    originalStatus: status,
  });
  const type = {'content-type': 'application/json'};
  return {
    ...createBufferedAnswer(410, type, Buffer.from(text)),
    originalStatus: String(status),
  };
}

/** Streams a long answer, which is read to its end even if the caller disconnects. */
function streamToEnd(
  answer: Answer,
  head: Buffer[],
  reader: AsyncIterator<Buffer>,
  end: (isComplete: boolean) => void,
): Answer {
  let isEnded = false;
  const endOnce = (isComplete: boolean) => {
    if (!isEnded) end(isComplete);
    isEnded = true;
  };
  const readRemaining = async function* () {
    try {
      for (;;) {
        const {value, done} = await reader.next();
        if (done) break;
        yield value;
      }
      endOnce(true);
    } catch (err) {
      endOnce(false);
      throw err;
    }
  };
  const readToEnd = async () => {
    try {
      for await (const chunk of readRemaining()) void chunk;
    } catch {
      // The outcome has already been recorded as unknown.
    }
  };
  return {
    ...answer,
    chunks: (async function* () {
      yield* head;
      yield* readRemaining();
    })(),
    cancel: () => void readToEnd(),
  };
}
