import {
  Invariant,
  type InvariantMonitor,
  linkAbort,
  Outcome,
  Step,
  type TimerService,
} from '@primrosestage/common';
import {
  type IdempotencyKey,
  KEY_EPOCH_MS,
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
import {createKeptAnswer} from './create_kept_answer.js';

/** Configures the execution of requests that carry a key. */
export interface HomeTaskOptions {
  selfId: string;
  dispatcher: Dispatcher;
  timers: TimerService;
  monitor: InvariantMonitor;
}

/** Runs requests that carry a key at most once and answers their repeats from the record. */
export class HomeTask implements AsyncDisposable {
  private readonly running = new Map<string, Promise<void>>();
  /** Requests that were started, with their epochs; checks the table independently of it. */
  private readonly started = new Map<string, number>();
  private readonly cleanup: AsyncDisposable;

  constructor(private readonly options: HomeTaskOptions) {
    this.cleanup = options.timers.every(KEY_EPOCH_MS, () =>
      this.started.clear(),
    );
  }

  /** Waits until no request runs under a key. */
  async waitUntilIdle(): Promise<void> {
    while (this.running.size > 0) await Promise.all(this.running.values());
  }

  /**
   * Answers a request from its record, or runs it.
   * @param table - The table of the key's home.
   * @param key - The key.
   * @param ctx - The request's context.
   * @param body - Its body.
   * @param signal - Ends the wait for another execution of the same key.
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
    await this.cleanup[Symbol.asyncDispose]();
  }

  /**
   * Runs a request. It does not end with its caller's connection where the whole body is at
   * hand, so that a repeat after a lost connection finds the answer.
   */
  private run(
    table: KeyTable,
    request: KeyRequest,
    ctx: RequestContext,
    body: RequestBody,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const id = getRunId(request);
    this.options.monitor.check(Invariant.AtMostOnce, !this.started.has(id), {
      requestId: ctx.requestId,
      key: ctx.idempotencyKey,
    });
    this.started.set(id, request.key.epoch);
    const runSignal =
      body.bytes === undefined ? signal : new AbortController().signal;
    let setEnded = () => {};
    const ended = new Promise<void>(resolve => (setEnded = resolve));
    this.running.set(id, ended);
    const end = (record: () => void) => {
      record();
      this.running.delete(id);
      setEnded();
    };
    return this.runOnce(table, request, ctx, body, runSignal, end);
  }

  private async runOnce(
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
      if (isNotRun) this.started.delete(getRunId(request));
      end(isNotRun ? () => table.recordNotRun(request) : recordUnknown);
      return result;
    }
    const {answer} = result;
    const reader = answer.chunks[Symbol.asyncIterator]();
    const head: Buffer[] = [];
    try {
      const isShort = await readUpTo(reader, head, MAX_RECORDED_BODY_BYTES);
      if (isShort) {
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
    const recordLong = () =>
      table.recordResponse(request, createRecord(answer, undefined));
    return {
      answer: streamToEnd(answer, head, reader, isWhole =>
        end(isWhole ? recordLong : recordUnknown),
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
    const abort = linkAbort(signal);
    const timeout = timers.sleep(remainingMs, abort.signal).then(() => false);
    const ended = (this.running.get(id) ?? Promise.resolve()).then(() => true);
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

/** Reads a body into `head`; false where it is longer than allowed. */
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
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || name === 'content-length') continue;
    kept[name] = Array.isArray(value) ? value : String(value);
  }
  return {status, headers: kept, body};
}

function createReplay({status, headers, body}: RecordedAnswer): Answer {
  if (body) return createKeptAnswer(status, headers, Buffer.from(body));
  const text = JSON.stringify({
    outcome: Outcome.Answered,
    message: 'the answer was too long to keep for a repeat',
    originalStatus: status,
  });
  const type = {'content-type': 'application/json'};
  return {
    ...createKeptAnswer(410, type, Buffer.from(text)),
    originalStatus: String(status),
  };
}

/** Streams a long answer; it is read to its end even where the caller leaves. */
function streamToEnd(
  answer: Answer,
  head: Buffer[],
  reader: AsyncIterator<Buffer>,
  end: (isWhole: boolean) => void,
): Answer {
  let isEnded = false;
  const endOnce = (isWhole: boolean) => {
    if (!isEnded) end(isWhole);
    isEnded = true;
  };
  const readRest = async function* () {
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
  const drain = async () => {
    try {
      for await (const chunk of readRest()) void chunk;
    } catch {
      // The record says that the end is unknown.
    }
  };
  return {
    ...answer,
    chunks: (async function* () {
      yield* head;
      yield* readRest();
    })(),
    cancel: () => void drain(),
  };
}
