import type {IncomingMessage} from 'node:http';
import {
  type AccountLookup,
  canFinishBeforeStop,
  isExpectedCached,
  isIdempotent,
  type Route,
} from '@primrosestage/steering';
import {
  AttemptOutcome,
  type AttemptResult,
  discardResponse,
} from './attempt.js';
import type {RequestBody} from './request_body.js';
import {AttemptRace, type FinishedAttempt} from './attempt_race.js';
import {type AttemptRecord, createAttemptRecord} from './attempt_record.js';
import {Decision} from '../decision.js';
import {observeAttempt} from './observe_attempt.js';
import {type ReceivedResponse, ResponseHolder} from './response_holder.js';
import type {SelectionTerms} from '../place/endpoint_selector.js';
import type {SenderOptions} from './sender_options.js';
import {
  type OpenAttempt,
  RESPONSE_GRACE_MS,
  startAttempt,
} from './start_attempt.js';

/** A request of a caller that is ready to be sent to an endpoint. */
export interface SendableRequest {
  req: IncomingMessage;
  requestId: string;
  body: RequestBody | undefined;
  route: Route;
  terms: SelectionTerms;
  /** Account to which the request belongs. */
  account: AccountLookup | undefined;
  service: string;
  /** Key of the object, or the request id if the request names no object. */
  objectKey: string;
  /** Monotonic time at which the request is given up, in milliseconds. */
  timeoutAt: number;
  /** The `traceparent` header of the request's span. */
  traceParent: string | undefined;
}

/** The final response of an endpoint, or why there is none. */
export type SendResult =
  | ReceivedResponse
  | {readonly response?: undefined; readonly decision: Decision};

/** Sends one request to endpoints, with retries and hedging if allowed. */
export class RetryingSender {
  /** Time until a caller should retry if no endpoint could be used, in milliseconds. */
  retryAfterMs?: number;
  /** Ids of the endpoints that were not chosen last because of their rate limits. */
  limited?: string[];
  private readonly finishedAttempts: AttemptRecord[] = [];
  private readonly tried = new Set<string>();
  private readonly openAttempts = new Set<OpenAttempt>();
  private readonly holder = new ResponseHolder();
  private hasUncertainAttempt = false;
  private isStopped = false;

  /**
   * Creates the sender of one request.
   * @param request - The request.
   * @param options - Dependencies of sending it.
   */
  constructor(
    private readonly request: SendableRequest,
    private readonly options: SenderOptions,
  ) {}

  /** Whether an endpoint may have run the request, or may still do so. */
  get mayHaveRun(): boolean {
    return this.hasUncertainAttempt || this.openAttempts.size > 0;
  }

  /**
   * Sends the request until there is a final response or no attempt is left.
   * @returns The result; without meaning if the sender was stopped meanwhile.
   */
  async send(): Promise<SendResult> {
    const race = new AttemptRace(this.options.timers);
    try {
      return await this.sendUntilFinal(race);
    } finally {
      race.discardPending();
    }
  }

  private async sendUntilFinal(race: AttemptRace): Promise<SendResult> {
    const {route} = this.request;
    let decision = Decision.NoCapacity;
    this.options.selector.countOffered(this.request);
    for (let sent = 0; ;) {
      const canFinish = this.canFinishBeforeStop();
      if (!canFinish) decision = Decision.Stopping;
      const open =
        canFinish && this.mayStartAttempt(sent)
          ? await this.startNextAttempt()
          : undefined;
      if (open) {
        if (sent === 0) this.options.selector.countAdmitted(this.request);
        sent++;
        race.add(open, this.awaitAttempt(open));
      }
      if (race.size === 0) return this.takeErrorResponse(true) ?? {decision};
      const isHedgeable =
        open !== undefined && isIdempotent(route.kind) && sent < route.attempts;
      const hedgeDelayMs = isHedgeable ? open.hedgeDelayMs : Infinity;
      const maxHoldMs = this.getMaxHoldMs();
      const finished = await race.takeFirstFinished(
        Math.min(hedgeDelayMs, maxHoldMs),
      );
      if (!finished) {
        if (this.isStopped) return {decision};
        const held =
          maxHoldMs <= hedgeDelayMs ? this.takeErrorResponse(true) : undefined;
        if (held) return held;
        continue;
      }
      const {response, outcome} = finished.result;
      if (this.isStopped) {
        discardResponse(finished.result);
        return {decision};
      }
      if (response) {
        const received = {response, from: finished.open};
        if (this.isResponseFinal(finished, sent, race.size)) return received;
        this.holder.hold(received);
      }
      decision = getFailureDecision(outcome);
      if (this.hasUncertainAttempt && !isIdempotent(route.kind)) {
        return {decision};
      }
    }
  }

  /**
   * Stops sending: no further attempt is started, and a held response is discarded. Open attempts go
   * on unless they are cancelled too.
   */
  stop(): void {
    this.isStopped = true;
    this.holder.discard();
  }

  /**
   * Removes the error response that was held in favour of a retry. It is the true result of the
   * request if no retry has a better one.
   * @param canStream - Whether there is time to forward one that is still being received.
   * @returns The response, or undefined if there is none.
   */
  takeErrorResponse(canStream: boolean): ReceivedResponse | undefined {
    return this.holder.take(canStream);
  }

  /** Cancels the open attempts and closes their connections. */
  cancelOpenAttempts(): void {
    for (const {attempt} of this.openAttempts) attempt.cancel();
  }

  /** Describes all attempts for the log. */
  getAttemptRecords(): AttemptRecord[] {
    const now = this.options.timers.now();
    const open = [...this.openAttempts].map(each =>
      createAttemptRecord(
        each,
        {outcome: 'open', reason: ''},
        now - each.startedAt,
      ),
    );
    return [...this.finishedAttempts, ...open];
  }

  /** The first attempt is always allowed; others are limited by the route and the retry budget. */
  private mayStartAttempt(sent: number): boolean {
    const {route, service} = this.request;
    if (sent === 0) return true;
    if (sent >= route.attempts) return false;
    const {retryBudgets, metrics} = this.options;
    if (retryBudgets.tryAcquire(service)) return true;
    metrics.retries.inc({service, cause: 'no-allowance'});
    return false;
  }

  /** Returns how long a whole held response may wait for a better one, in milliseconds. */
  private getMaxHoldMs(): number {
    if (!this.holder.hasWhole) return Infinity;
    const remainingMs = this.request.timeoutAt - this.options.timers.now();
    return Math.max(0, remainingMs - RESPONSE_GRACE_MS);
  }

  private canFinishBeforeStop(): boolean {
    const {selector, timers, getStopSchedule} = this.options;
    const schedule = getStopSchedule();
    if (!schedule) return true;
    return canFinishBeforeStop(schedule, {
      now: timers.now(),
      answeredBy: this.request.timeoutAt + RESPONSE_GRACE_MS,
      expectedMs: 2 * selector.getServiceMs(this.request.service),
    });
  }

  /** An error response to an idempotent request is retried if attempts and time remain. */
  private isResponseFinal(
    {result: {response, outcome}}: FinishedAttempt,
    sent: number,
    pendingCount: number,
  ): boolean {
    if (!response || outcome !== AttemptOutcome.Answered) return false;
    const {route, service, timeoutAt} = this.request;
    if (response.status < 500 || !isIdempotent(route.kind)) return true;
    if (pendingCount > 0) return false;
    if (sent >= route.attempts) return true;
    const {selector, timers} = this.options;
    const neededMs = 2 * selector.getServiceMs(service);
    return timeoutAt - timers.now() < neededMs;
  }

  private async startNextAttempt(): Promise<OpenAttempt | undefined> {
    const {route, terms, service, objectKey, ...request} = this.request;
    const {open, limited, ...refusal} = await startAttempt(
      {
        ...request,
        selection: {route, terms, service, objectKey, tried: this.tried},
        isFinished: () => this.isStopped,
        handleStart: started => this.registerAttempt(started),
      },
      this.options,
    );
    if (limited?.length) this.limited = [...limited];
    if ('retryAfterMs' in refusal) this.retryAfterMs = refusal.retryAfterMs;
    return open;
  }

  private registerAttempt(open: OpenAttempt): void {
    this.tried.add(open.endpoint.entry.id);
    this.openAttempts.add(open);
    const {endpoint, candidate} = open;
    this.options.metrics.placements.inc({
      service: endpoint.entry.service,
      endpoint: candidate.rank === 0 ? 'first' : 'further',
      cache: isExpectedCached(candidate) ? 'warm' : 'cold',
    });
  }

  private async awaitAttempt(open: OpenAttempt): Promise<FinishedAttempt> {
    const result = await open.attempt.result;
    this.openAttempts.delete(open);
    if (!isSurelyNotRun(result.outcome)) this.hasUncertainAttempt = true;
    try {
      this.observe(open, result);
    } catch (err) {
      // What the endpoint answered reaches the caller all the same.
      this.options.log.writeError(this.request.requestId, err);
    }
    return {open, result};
  }

  private observe(open: OpenAttempt, result: AttemptResult): void {
    const {selector, limitTracker, noticeTracker, timers, metrics} =
      this.options;
    const at = timers.now();
    const {objectKey} = this.request;
    observeAttempt(open, result, selector, {at, objectKey});
    const {respondedAt, limit, outcome, response} = result;
    if (respondedAt !== undefined) {
      const isSuccess =
        outcome === AttemptOutcome.Answered && (response?.status ?? 200) < 500;
      const {endpoint, startedAt} = open;
      const statement = {limit, isSuccess, startedAt, respondedAt};
      limitTracker.observeResponse(endpoint, statement);
    }
    noticeTracker.observeResponse(open.endpoint.entry, result);
    open.span?.end(result.outcome, result.response ? undefined : result.reason);
    const ms = at - open.startedAt;
    const {service} = open.endpoint.entry;
    metrics.attempts.inc({service, outcome: result.outcome});
    metrics.attemptSeconds.observe({service}, ms / 1_000);
    this.finishedAttempts.push(createAttemptRecord(open, result, ms));
  }
}

function isSurelyNotRun(outcome: AttemptOutcome): boolean {
  return (
    outcome === AttemptOutcome.Refused || outcome === AttemptOutcome.NotSent
  );
}

function getFailureDecision(outcome: AttemptOutcome): Decision {
  switch (outcome) {
    case AttemptOutcome.Refused:
      return Decision.Refused;
    case AttemptOutcome.NotSent:
      return Decision.NoEndpoint;
    case AttemptOutcome.TimedOut:
      return Decision.TimedOut;
    default:
      return Decision.ConnectionBroken;
  }
}
