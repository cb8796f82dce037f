import {AccountDemand} from './account_demand.js';
import {FixedQuotaShares, type QuotaSharing} from './fixed_quota_shares.js';
import type {QuotaPlan} from './plan_quota.js';
import type {QuotaReply, QuotaRequest, StatedCredit} from './quota_message.js';
import {
  HEARD_MS,
  REPLY_VALIDITY_MS,
  SILENCE_MS,
  UNUSED_MS,
} from './quota_timing.js';

/** Most accounts in a request. */
const MAX_ACCOUNTS = 60;
/**
 * Time beyond a round trip for which credit is held, in milliseconds: the interval of requests and
 * some variation of the latency.
 */
const RESERVE_MS = 150;
/** Time after its last request for which an account may have a reserve, in milliseconds. */
const RESERVE_AFTER_USE_MS = 5_000;
/** Time for which credit is kept for a request that was refused without a reply, in milliseconds. */
const KEEP_MS = 1_000;
/** Longest time for which a coordinator's refusal applies to later requests, in milliseconds. */
const MAX_DENIED_MS = 500;
/** Weight of the last round trip in their average. */
const ROUND_TRIP_WEIGHT = 0.2;
/** Periodic requests that state an account which has no credit and needs none. */
const EMPTY_STATEMENTS = 2;

/** Where the credit of an account comes from. */
export enum QuotaSource {
  /** Credit lent by the coordinator. */
  Lent = 'lent',
  /** The fixed share of this instance, while the coordinator does not reply. */
  Fixed = 'fixed',
}

/** Result of asking for credit for one request. */
export interface QuotaResult {
  isGranted: boolean;
  /** Time after which the request may be repeated; undefined if it should wait for a reply. */
  retryAfterMs?: number;
  /**
   * Returns the credit of a request that has certainly not run.
   * @param now - Monotonic time in milliseconds.
   */
  giveBack: (now: number) => void;
}

/** Configures the credit of an instance. */
export interface QuotaCreditOptions {
  /** Name of the group of accounts. */
  group: string;
  /** Id of this instance. */
  id: string;
  /** Number of this process. */
  process: number;
  /** Time of the last reply of a coordinator; at first the start of the process. */
  lastReplyAt: number;
  /** Time until which a former coordinator may count this instance as heard. */
  countedUntil: number;
}

interface AccountCredit {
  plan: QuotaPlan;
  held: number;
  /** Requests that wait for a reply. */
  waiting: number;
  demand: AccountDemand;
  usedAt: number;
  deniedUntil: number;
  keepUntil: number;
  emptyStatements: number;
  /** Credit that the coordinator allows for requests that are not expected. */
  reserve: number;
  /** Whether credit has been used since the last statement. */
  isUnreported: boolean;
  /** Increases when credit is discarded, so that credit from before is not given back. */
  epoch: number;
}

/**
 * Credit that one instance holds for the accounts of a group. Credit of a coordinator that has been
 * replaced, restarted or silent for 1.5 s is discarded, also if this process was frozen meanwhile,
 * since the time is checked at each use. Replies that are old or out of order are ignored.
 */
export class QuotaCredit {
  private readonly accounts = new Map<string, AccountCredit>();
  private coordinator?: string;
  private coordinatorProcess = 0;
  private received = 0;
  private requestCount = 0;
  private readonly sentAt = new Map<number, number>();
  private roundTripMs = 0;
  private lastReplyAt: number;
  private countedUntil: number;
  /** Time from which replies of the coordinator may be acknowledged. */
  private countFrom: number;
  private shares?: FixedQuotaShares;
  private isDue = false;

  constructor(private readonly options: QuotaCreditOptions) {
    this.lastReplyAt = options.lastReplyAt;
    this.countedUntil = options.countedUntil;
    this.countFrom = options.countedUntil;
  }

  /** Times that a credit which replaces this one, for another group, starts with. */
  get times(): Pick<QuotaCreditOptions, 'lastReplyAt' | 'countedUntil'> {
    const {lastReplyAt, countedUntil} = this;
    return {lastReplyAt, countedUntil};
  }

  /** Number that the next request will have. */
  get nextRequest(): number {
    return this.requestCount + 1;
  }

  /** Whether a request should be sent before the next periodic one. */
  get isRequestDue(): boolean {
    return this.isDue;
  }

  /** Id of the coordinator; undefined if there is none. */
  get coordinatorId(): string | undefined {
    return this.coordinator;
  }

  /**
   * Sets the instance that is asked for credit. The credit of another one is discarded, and its
   * replies are acknowledged only when the other one certainly no longer counts this instance.
   * @param id - Id of the coordinator.
   */
  setCoordinator(id: string | undefined): void {
    if (id === this.coordinator) return;
    this.coordinator = id;
    this.changeProcess(0);
    this.isDue = true;
  }

  /**
   * Returns where the credit comes from.
   * @param now - Monotonic time in milliseconds.
   */
  getSource(now: number): QuotaSource {
    if (now - this.lastReplyAt < SILENCE_MS) return QuotaSource.Lent;
    if (!this.shares) {
      this.shares = new FixedQuotaShares(this.lastReplyAt + SILENCE_MS);
      for (const account of this.accounts.values()) discard(account);
    }
    return QuotaSource.Fixed;
  }

  /**
   * Takes credit for one request.
   * @param name - Name of the account.
   * @param plan - Amounts of credit by the configuration in force.
   * @param sharing - How the instances share the rate without a coordinator.
   * @param now - Monotonic time in milliseconds.
   */
  take(
    name: string,
    plan: QuotaPlan,
    sharing: QuotaSharing,
    now: number,
  ): QuotaResult {
    const account = this.getAccount(name, plan, now);
    account.demand.count(now);
    account.usedAt = now;
    if (this.getSource(now) === QuotaSource.Fixed) {
      const share = this.shares?.take(name, plan, sharing, now);
      return {
        isGranted: share?.isGranted === true,
        retryAfterMs: share?.retryAfterMs ?? 0,
        giveBack: () => share?.putBack(),
      };
    }
    const result = this.takeHeld(name, now);
    if (result) return result;
    const waitMs = account.deniedUntil - now;
    return {
      isGranted: false,
      retryAfterMs: waitMs > 0 ? Math.ceil(waitMs) : undefined,
      giveBack: () => {},
    };
  }

  /**
   * Takes lent credit for a request that has been counted, if there is some.
   * @param name - Name of the account.
   * @param now - Monotonic time in milliseconds.
   */
  takeHeld(name: string, now: number): QuotaResult | undefined {
    if (this.getSource(now) === QuotaSource.Fixed) return undefined;
    const account = this.accounts.get(name);
    if (!account || account.held < 1) return undefined;
    account.held--;
    account.isUnreported = true;
    // The coordinator reserves the last credit until its use is reported, so that is not delayed.
    const need = Math.max(1, this.getNeed(account, now));
    const isLow = account.held < need / 2;
    if (isLow && now >= account.deniedUntil) this.isDue = true;
    const {epoch} = account;
    return {
      isGranted: true,
      giveBack: at => {
        if (account.epoch !== epoch) return;
        if (account.held >= account.plan.lendLimit) return;
        account.held++;
        // Its use may have been reported already, and the coordinator takes back only what it knows
        // to be held. It is kept until it has been stated again, also for a repeat of the request.
        account.keepUntil = at + KEEP_MS;
        account.isUnreported = true;
      },
    };
  }

  /**
   * Records that requests started or ended to wait for credit.
   * @param name - Name of the account.
   * @param change - Change of their number.
   */
  changeWaiting(name: string, change: number): void {
    const account = this.accounts.get(name);
    if (!account) return;
    account.waiting = Math.max(0, account.waiting + change);
    if (change > 0) this.isDue = true;
  }

  /**
   * Keeps credit that arrives for a request which has been refused without a reply, since its
   * caller may repeat it.
   * @param name - Name of the account.
   * @param now - Monotonic time in milliseconds.
   */
  keepForRepeat(name: string, now: number): void {
    const account = this.accounts.get(name);
    if (account) account.keepUntil = now + KEEP_MS;
  }

  /**
   * Creates the requests to the coordinator: one that says that this instance is alive, and more
   * if the accounts do not fit into it.
   * @param now - Monotonic time in milliseconds.
   * @param isPeriodic - Whether all accounts are stated; otherwise only those that lack credit.
   */
  createRequests(now: number, isPeriodic: boolean): QuotaRequest[] {
    this.isDue = false;
    this.getSource(now);
    const stated: StatedCredit[] = [];
    for (const [name, account] of this.accounts) {
      const target = this.getNeed(account, now) + account.waiting;
      const returned = Math.max(0, account.held - target);
      account.held -= returned;
      const isEmpty = target === 0;
      if (!isEmpty) account.emptyStatements = 0;
      else if (isPeriodic) account.emptyStatements++;
      const isStated = isPeriodic
        ? account.emptyStatements <= EMPTY_STATEMENTS
        : account.isUnreported || returned > 0 || account.held < target / 2;
      if (!isStated) continue;
      account.isUnreported = false;
      stated.push([name, account.held, target, returned]);
    }
    const requests: QuotaRequest[] = [];
    for (let i = 0; i === 0 || i < stated.length; i += MAX_ACCOUNTS) {
      requests.push(this.createRequest(stated.slice(i, i + MAX_ACCOUNTS), now));
    }
    return requests;
  }

  /**
   * Applies a reply.
   * @param reply - The reply.
   * @param now - Monotonic time in milliseconds.
   * @returns Whether it was applied.
   */
  receiveReply(reply: QuotaReply, now: number): boolean {
    const sentAt = this.sentAt.get(reply.request);
    if (reply.from !== this.coordinator || sentAt === undefined) return false;
    if (now - sentAt > REPLY_VALIDITY_MS) return false;
    if (reply.process !== this.coordinatorProcess) {
      this.changeProcess(reply.process);
    } else if (reply.number <= this.received) return false;
    if (this.received === 0 || this.getSource(now) === QuotaSource.Fixed) {
      // The coordinator counts this instance from its acknowledgement on.
      this.isDue = true;
    }
    this.received = reply.number;
    this.lastReplyAt = now;
    this.shares = undefined;
    this.recordRoundTrip(now - sentAt);
    for (const [name, granted, retryAfterMs, reserve] of reply.accounts) {
      const account = this.accounts.get(name);
      if (!account) continue;
      account.reserve = reserve;
      account.held += granted;
      const deniedMs = granted > 0 ? 0 : Math.min(retryAfterMs, MAX_DENIED_MS);
      account.deniedUntil = now + deniedMs;
    }
    return true;
  }

  /**
   * Drops the state of accounts that are not in use.
   * @param now - Monotonic time in milliseconds.
   */
  prune(now: number): void {
    for (const [name, {usedAt, waiting}] of this.accounts) {
      if (waiting === 0 && now - usedAt > UNUSED_MS) this.accounts.delete(name);
    }
    for (const [number, at] of this.sentAt) {
      if (now - at > REPLY_VALIDITY_MS) this.sentAt.delete(number);
    }
    const canCount = now >= this.countFrom && this.countedUntil < now;
    if (canCount && this.received > 0) this.isDue = true;
  }

  private createRequest(
    accounts: readonly StatedCredit[],
    now: number,
  ): QuotaRequest {
    const isCounted = this.received > 0 && now >= this.countFrom;
    if (isCounted) {
      this.countedUntil = Math.max(
        this.countedUntil,
        this.lastReplyAt + HEARD_MS,
      );
    }
    const number = ++this.requestCount;
    this.sentAt.set(number, now);
    return {
      group: this.options.group,
      from: this.options.id,
      process: this.options.process,
      number,
      receivedFrom: this.coordinatorProcess,
      received: this.received,
      isCounted,
      accounts,
    };
  }

  private changeProcess(process: number): void {
    this.coordinatorProcess = process;
    this.received = 0;
    this.roundTripMs = 0;
    this.countFrom = this.countedUntil;
    for (const account of this.accounts.values()) discard(account);
  }

  private recordRoundTrip(ms: number): void {
    const isFirst = this.roundTripMs === 0;
    const weight = isFirst ? 1 : ROUND_TRIP_WEIGHT;
    this.roundTripMs += (ms - this.roundTripMs) * weight;
  }

  private getNeed(account: AccountCredit, now: number): number {
    const {demand, plan, keepUntil, usedAt} = account;
    const kept = now < keepUntil ? 1 : 0;
    // The coordinator decides its own requests without delay.
    if (this.coordinator === this.options.id) return kept;
    const need = demand.getPerMs(now) * (this.roundTripMs + RESERVE_MS);
    const isUsed = now - usedAt < RESERVE_AFTER_USE_MS;
    // The number of requests that arrive in this time varies by about its square root.
    const reserve = isUsed ? Math.min(account.reserve, 1 + Math.sqrt(need)) : 0;
    return Math.max(kept, Math.floor(Math.min(need + reserve, plan.lendLimit)));
  }

  private getAccount(
    name: string,
    plan: QuotaPlan,
    now: number,
  ): AccountCredit {
    let account = this.accounts.get(name);
    if (!account) {
      account = {
        plan,
        held: 0,
        waiting: 0,
        demand: new AccountDemand(now),
        usedAt: now,
        deniedUntil: -Infinity,
        keepUntil: -Infinity,
        emptyStatements: 0,
        reserve: 0,
        isUnreported: false,
        epoch: 0,
      };
      this.accounts.set(name, account);
    }
    const {ratePerSecond, burst} = account.plan;
    if (ratePerSecond !== plan.ratePerSecond || burst !== plan.burst) {
      discard(account);
    }
    account.plan = plan;
    return account;
  }
}

function discard(account: AccountCredit): void {
  account.held = 0;
  account.deniedUntil = -Infinity;
  account.reserve = 0;
  account.epoch++;
}
