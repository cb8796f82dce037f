import {
  getErrorMessage,
  Invariant,
  type InvariantMonitor,
  createLinkedAbortController,
  type Logger,
  Outcome,
  Step,
  type TimerService,
} from '@primrosestage/common';
import {
  getHedgeDelay,
  type InstanceInfo,
  type Target,
  type TargetSelector,
  getServiceKey,
} from '@primrosestage/steering';
import type {Answer, AttemptResult, Refusal} from '../exchange/index.js';
import type {RequestBody} from '../http/index.js';
import type {OwnerTask} from '../owner/index.js';
import type {RequestContext} from '../request_context.js';
import type {RetryLimiter} from '../retry/index.js';
import type {ServiceTimes} from '../telemetry/index.js';
import {InstanceRole} from './instance_role.js';
import type {LinkPacer} from './link_pacer.js';
import {paceBody, paceChunks} from './pace_transfer.js';
import {
  raceAttempts,
  raceWithDelay,
  type RunningAttempt,
} from './race_attempts.js';
import type {RelayTask} from './relay_task.js';

/** Configures the dispatcher. */
export interface DispatcherOptions {
  self: InstanceInfo;
  selector: TargetSelector;
  owner: OwnerTask;
  relay: RelayTask;
  retries: RetryLimiter;
  times: ServiceTimes;
  timers: TimerService;
  monitor: InvariantMonitor;
  logger: Logger;
  pace?: LinkPacer;
}

/** Sends requests to the owners that the selector chooses, with retries and hedging. */
export class Dispatcher {
  constructor(private readonly options: DispatcherOptions) {}

  /**
   * Sends a request and retries it until it is answered or no further retry is allowed.
   * @param ctx - The request's context.
   * @param body - Its body.
   * @param signal - Cancels the request.
   * @returns The answer, whose body has not been read yet, or the refusal.
   */
  async dispatch(
    ctx: RequestContext,
    body: RequestBody,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const {retries, monitor} = this.options;
    const attempts = new AttemptHistory(ctx, body, signal);
    retries.creditFirstAttempt(ctx);
    let lastRefusal: Refusal | undefined;
    for (;;) {
      const target = this.selectTarget(attempts);
      if (!target) break;
      const result = await this.attemptHedged(attempts, target);
      if (result.answer) return result;
      lastRefusal = result.refusal;
      const mayRetry =
        !signal.aborted &&
        retries.acquireRetry(ctx, Step.Ingress, {
          mayHaveRun: attempts.mayHaveRun,
          canResend: body.canSend(),
          attempts: attempts.count,
        });
      if (!mayRetry) break;
      this.options.logger.info('request retried', {
        requestId: ctx.requestId,
        step: lastRefusal.step,
        peer: lastRefusal.peer,
        message: lastRefusal.message,
      });
    }
    const refusal = attempts.toFinalRefusal(
      lastRefusal ?? this.createNoTargetRefusal(ctx),
    );
    monitor.check(
      Invariant.NotRunIsAccurate,
      refusal.outcome !== Outcome.NotRun || attempts.unknownCount === 0,
      {requestId: ctx.requestId, unknownAttempts: attempts.unknownCount},
    );
    return {refusal};
  }

  private selectTarget(attempts: AttemptHistory): Target | undefined {
    const {ctx, triedOwnerIds: tried} = attempts;
    return this.options.selector.selectTarget({
      service: ctx.service,
      requestClass: ctx.requestClass,
      sourceRegion: ctx.sourceRegion,
      tried,
    });
  }

  /** Makes an attempt, and a hedged one if the first has no result within the hedge delay. */
  private async attemptHedged(
    attempts: AttemptHistory,
    target: Target,
  ): Promise<AttemptResult> {
    const {ctx, body} = attempts;
    const {timers, times, retries} = this.options;
    const hedgeDelayMs = getHedgeDelay({
      requestClass: ctx.requestClass,
      priority: ctx.service.priority,
      canResend: body.bytes !== undefined,
      remainingMs: ctx.deadlineAt - timers.now(),
      ...times.getPercentiles(getServiceKey(ctx.service)),
    });
    if (hedgeDelayMs === undefined) {
      attempts.add(target);
      return this.runAttempt(attempts, target, attempts.signal);
    }
    const first = this.startAttempt(attempts, target);
    const earlyResult = await raceWithDelay(first.result, hedgeDelayMs, timers);
    if (earlyResult) return earlyResult;
    if (!retries.acquireHedge(ctx)) return first.result;
    const second = this.selectTarget(attempts);
    if (!second) return first.result;
    return raceAttempts([first, this.startAttempt(attempts, second)]);
  }

  private startAttempt(
    attempts: AttemptHistory,
    target: Target,
  ): RunningAttempt {
    attempts.add(target);
    const abort = createLinkedAbortController(attempts.signal);
    return {
      result: this.runAttempt(attempts, target, abort.signal),
      cancel: () => abort.abort(),
    };
  }

  /** Runs an attempt; one that fails unexpectedly may have run. */
  private async runAttempt(
    attempts: AttemptHistory,
    target: Target,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    try {
      return await this.sendAttempt(attempts, target, signal);
    } catch (err) {
      attempts.countUnknown();
      this.options.logger.error('attempt failed', {
        requestId: attempts.ctx.requestId,
        step: Step.Relay,
        peer: target.owner.id,
        message: getErrorMessage(err),
      });
      throw err;
    }
  }

  private async sendAttempt(
    attempts: AttemptHistory,
    target: Target,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const {self, owner, relay, timers, selector, times, pace} = this.options;
    const {ctx} = attempts;
    const startedAt = timers.now();
    const transfer = {
      fromRegion: self.region,
      toRegion: target.owner.region,
      priority: ctx.service.priority,
    };
    const isRemote = target.owner.region !== self.region;
    const body =
      pace && isRemote
        ? paceBody(attempts.body, transfer, pace)
        : attempts.body;
    const result =
      target.owner.id === self.id
        ? await owner.execute(ctx, body, signal)
        : await relay.send(target.owner, InstanceRole.Owner, ctx, body, signal);
    const record = (outcome: Outcome) =>
      selector.recordResult({
        target,
        service: ctx.service,
        outcome,
        freeSlots: (result.answer ?? result.refusal).freeSlots,
        latencyMs: timers.now() - startedAt,
      });
    if (!result.answer) {
      if (result.refusal.outcome === Outcome.Unknown) attempts.countUnknown();
      record(result.refusal.outcome);
      return result;
    }
    const {answer} = result;
    const chunks =
      pace && isRemote
        ? paceChunks(answer.chunks, transfer, pace)
        : answer.chunks;
    return {
      answer: recordOnEnd({...answer, chunks}, isComplete => {
        if (isComplete && target.owner.id !== self.id) {
          times.record(getServiceKey(ctx.service), timers.now() - startedAt);
        }
        record(isComplete ? Outcome.Answered : Outcome.Unknown);
      }),
    };
  }

  private createNoTargetRefusal(ctx: RequestContext): Refusal {
    return {
      outcome: Outcome.NotRun,
      status: 503,
      step: Step.Ingress,
      peer: this.options.self.id,
      message: `no owner of ${ctx.service.name} can accept the request`,
    };
  }
}

/** Records the attempts of one request. */
class AttemptHistory {
  readonly triedOwnerIds = new Set<string>();
  count = 0;
  /** Number of attempts after which the request may have run. */
  unknownCount = 0;

  constructor(
    readonly ctx: RequestContext,
    readonly body: RequestBody,
    readonly signal: AbortSignal,
  ) {}

  get mayHaveRun(): boolean {
    return this.unknownCount > 0;
  }

  /** Counts an attempt after which the request may have run. */
  countUnknown(): void {
    this.unknownCount++;
  }

  /** Adds an attempt. */
  add(target: Target): void {
    this.triedOwnerIds.add(target.owner.id);
    this.count++;
  }

  /** Reports the outcome as unknown if any attempt may have run, whatever the last refusal says. */
  toFinalRefusal(last: Refusal): Refusal {
    if (!this.mayHaveRun || last.outcome === Outcome.Unknown) return last;
    return {...last, outcome: Outcome.Unknown, status: 502};
  }
}

function recordOnEnd(
  answer: Answer,
  record: (isComplete: boolean) => void,
): Answer {
  let isRecorded = false;
  const recordOnce = (isComplete: boolean) => {
    if (!isRecorded) record(isComplete);
    isRecorded = true;
  };
  return {
    ...answer,
    chunks: (async function* () {
      try {
        yield* answer.chunks;
        recordOnce(true);
      } finally {
        recordOnce(false);
      }
    })(),
    cancel: () => {
      answer.cancel();
      recordOnce(false);
    },
  };
}
