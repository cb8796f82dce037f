import {
  findLimitExcesses,
  type LimitExcess,
  type StatedLimit,
} from '../../limits/index.js';
import type {SimRequestKind} from './deployment.js';

/** Final outcome of a caller's request. */
export enum CallerOutcome {
  /** An answer within the latency objective, measured from the first try. */
  InTime = 'in time',
  Late = 'late',
  Refused = 'refused',
  /** No answer before the deadline. */
  Failed = 'failed',
}

/** How the endpoints of a kind of request were used. */
export interface EndpointUse {
  /** Busy time of the busiest endpoint as a multiple of the mean. */
  busiestToMean: number;
  /** Fraction of the started requests whose object was cached. */
  warmFraction: number;
}

/** Time from the first statement of a limit until it must be kept, in milliseconds. */
const LIMIT_SETTLE_MS = 1_000;

/** Counts the outcomes of callers by kind of request and by zone. */
export class DirectTally {
  /** Windows in which an endpoint received more requests than its limit allows. */
  readonly limitExcesses: LimitExcess[] = [];
  /** Requests that limited endpoints received, as a fraction of what their limits allow. */
  readonly limitUses: number[] = [];
  private readonly counts = new Map<string, number>();
  private readonly uses = new Map<string, EndpointUse>();

  /**
   * Counts a caller.
   * @param caller - Its kind of request and its zone.
   * @param outcome - Its outcome.
   */
  count(
    {kind, zone}: {kind: SimRequestKind; zone: string},
    outcome: CallerOutcome,
  ): void {
    for (const group of ['', kind.name, zone]) {
      this.add(`${group} ${outcome}`);
      this.add(`${group} all`);
    }
  }

  /**
   * Counts the requests of an endpoint while it stated a limit.
   * @param arrivedAt - Times at which requests arrived, in milliseconds.
   * @param limit - The limit.
   */
  countLimit(arrivedAt: readonly number[], limit: StatedLimit): void {
    const {perSecond, from, to} = limit;
    const excesses = findLimitExcesses(arrivedAt, [limit], LIMIT_SETTLE_MS);
    this.limitExcesses.push(...excesses);
    const since = from + LIMIT_SETTLE_MS;
    const count = arrivedAt.filter(at => at >= since && at < to).length;
    this.limitUses.push((1_000 * count) / (perSecond * (to - since)));
  }

  /**
   * Records how the endpoints of a kind of request were used.
   * @param kind - The kind.
   * @param endpoints - Busy time, started requests and those with a cached object, by endpoint.
   */
  recordUse(
    {name}: SimRequestKind,
    endpoints: ReadonlyArray<{
      busyMs: number;
      startCount: number;
      cachedCount: number;
    }>,
  ): void {
    let busyMs = 0;
    let started = 0;
    let cached = 0;
    for (const endpoint of endpoints) {
      busyMs += endpoint.busyMs;
      started += endpoint.startCount;
      cached += endpoint.cachedCount;
    }
    const busiestMs = Math.max(...endpoints.map(endpoint => endpoint.busyMs));
    this.uses.set(name, {
      busiestToMean: (busiestMs * endpoints.length) / Math.max(1, busyMs),
      warmFraction: cached / Math.max(1, started),
    });
  }

  /** How the endpoints were used, by kind of request. */
  get endpointUses(): ReadonlyMap<string, EndpointUse> {
    return this.uses;
  }

  /**
   * Returns the number of callers.
   * @param group - A kind of request or a zone; all callers if empty.
   */
  getCallerCount(group = ''): number {
    return this.counts.get(`${group} all`) ?? 0;
  }

  /**
   * Returns the fraction of the callers with an outcome.
   * @param outcome - The outcome.
   * @param group - A kind of request or a zone; all callers if empty.
   */
  getFraction(outcome: CallerOutcome, group = ''): number {
    const count = this.counts.get(`${group} ${outcome}`) ?? 0;
    return count / Math.max(1, this.getCallerCount(group));
  }

  private add(key: string): void {
    this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
  }
}
