import type {EventLogger, TimerService} from '@primrosestage/common';
import {
  chooseQuotaGroups,
  type ClientAccount,
  type ControlView,
  getQuotaGroupIndex,
  hash32,
  HEARD_MS,
  type MemberInfo,
  type MemberTable,
  planQuota,
  QuotaCredit,
  RateBucket,
  type QuotaGroup,
  QuotaLedger,
  type QuotaPlan,
  type QuotaRequest,
  type QuotaResult,
  type QuotaTolerance,
  UNDECIDED_RETRY_MS,
} from '@primrosestage/steering';
import type {DirectMetrics} from '../direct_metrics.js';
import {
  type QuotaMessage,
  QuotaMessageType,
  type QuotaReplyMessage,
} from './quota_message.js';
import {QuotaEvent, type QuotaOrigin, QuotaUse} from './quota_use.js';

/** Interval of the periodic requests to each coordinator, in milliseconds. */
const REQUEST_INTERVAL_MS = 500;
/** Tolerance of that interval, since sweeps may be called slightly early, in milliseconds. */
const INTERVAL_TOLERANCE_MS = 20;
/** Requests per second to a coordinator besides the periodic ones. */
const EARLY_PER_SECOND = 10;
/**
 * Most of them at once: one for a request that waits, one that reports the use of its credit, and
 * one for another request. With one each 100 ms, a second request that arrives within that time
 * would get no reply of a distant coordinator within its wait.
 */
const EARLY_BURST = 3;
/**
 * Longest time for which a request waits for a reply of the coordinator, in milliseconds. It covers
 * the interval of early requests and two round trips between regions.
 */
const MAX_WAIT_MS = 300;
/** Interval at which unused state is dropped, in milliseconds. */
const PRUNE_INTERVAL_MS = 1_000;
/** Range of the numbers of processes. */
const MAX_PROCESS = 2 ** 31;

/** Configures the quotas of client accounts. */
export interface QuotaGateOptions {
  /** Id of this instance. */
  id: string;
  /** Address for replies, `host:port`. */
  gossipAddress: string;
  view: Pick<ControlView, 'accounts'>;
  members: Pick<
    MemberTable,
    'getServing' | 'getLimitDivisor' | 'getRankFor' | 'version'
  >;
  /** Returns the tolerance of quotas; undefined if they are not enforced. */
  getTolerance: () => QuotaTolerance | undefined;
  timers: Pick<TimerService, 'now' | 'after'>;
  logger: EventLogger;
  metrics: Pick<DirectMetrics, 'quotas'>;
  /** Returns a random number in [0, 1). */
  random: () => number;
  /** Sends a datagram to another instance, which may lose it. */
  send: (message: QuotaMessage, address: string) => void;
}

/** Decision on a request of an account with a quota. */
export interface QuotaOutcome {
  isGranted: boolean;
  /** Time after which the request may be repeated, in milliseconds. */
  retryAfterMs: number;
  /** Returns the credit of a request that has certainly not run. */
  giveBack: () => void;
}

/** A request that waits for credit. */
export interface PendingOutcome {
  outcome: Promise<QuotaOutcome>;
  /** Ends the wait of a request whose caller has left. */
  cancel: () => void;
}

interface Waiter {
  account: ClientAccount;
  /** Number of the request to the coordinator that asks for its credit. */
  request: number;
  timer: Disposable;
  resolve: (outcome: QuotaOutcome) => void;
}

interface Group extends QuotaGroup {
  credit: QuotaCredit;
  /** Requests that wait for credit, by account. */
  waiters: Map<string, Set<Waiter>>;
  requestedAt: number;
  earlyRequests: RateBucket;
  earlyTimer?: Disposable;
}

/**
 * Keeps the requests of accounts within their quotas over all instances. Does nothing unless quotas
 * are enforced and an account has one.
 */
export class QuotaGate implements Disposable {
  private readonly process: number;
  private readonly ledger: QuotaLedger;
  private readonly use: QuotaUse;
  private readonly startedAt: number;
  private readonly ranks = new Map<string, {version: number; rank: number}>();
  private groups: Group[] = [];
  private prunedAt = -Infinity;

  constructor(private readonly options: QuotaGateOptions) {
    const {id, members, timers, random, metrics, logger} = options;
    this.process = 1 + Math.floor(random() * MAX_PROCESS);
    this.startedAt = timers.now();
    this.ledger = new QuotaLedger({
      id,
      process: this.process,
      getPlan: account => this.getPlan(account),
      getInstances: () => members.getLimitDivisor(timers.now()),
    });
    this.use = new QuotaUse(metrics, logger);
  }

  /**
   * Decides whether a request is within its account's quota.
   * @param account - The account; undefined if the request has none.
   * @returns The decision, or a wait for it; undefined if the account has no quota.
   */
  acquire(
    account: ClientAccount | undefined,
  ): QuotaOutcome | PendingOutcome | undefined {
    if (!account || account.ratePerSecond <= 0) return undefined;
    const tolerance = this.options.getTolerance();
    if (!tolerance) return undefined;
    const {name} = account;
    const {members, timers} = this.options;
    const now = timers.now();
    const group = this.getGroup(name);
    const sharing = {
      instances: members.getLimitDivisor(now),
      getRank: () => this.getRank(name),
    };
    const plan = planQuota(account, tolerance);
    const result = group.credit.take(name, plan, sharing, now);
    if (!result.isGranted && result.retryAfterMs === undefined) {
      return this.wait(group, account);
    }
    if (result.isGranted) this.sendIfDue(group);
    return this.decide(account, result);
  }

  /** Sends the periodic requests and drops what is not in use; called a few times a second. */
  sweep(): void {
    const {view, getTolerance, timers} = this.options;
    if (!getTolerance() || !view.accounts.hasLimits) {
      this[Symbol.dispose]();
      return;
    }
    const now = timers.now();
    this.updateGroups();
    for (const group of this.groups) {
      const sinceMs = now - group.requestedAt;
      if (sinceMs >= REQUEST_INTERVAL_MS - INTERVAL_TOLERANCE_MS) {
        group.requestedAt = now;
        this.send(group, true);
      }
      group.credit.prune(now);
      this.sendIfDue(group);
    }
    if (now - this.prunedAt < PRUNE_INTERVAL_MS) return;
    this.prunedAt = now;
    this.ledger.prune(now);
  }

  /**
   * Handles a datagram of another instance.
   * @param message - The datagram.
   */
  receive(message: QuotaMessage): void {
    if (message.type === QuotaMessageType.Reply) this.receiveReply(message);
    else {
      const reply = this.decideRequest(message);
      if (reply) this.options.send(reply, message.replyAddress);
    }
  }

  /** Logs the accounts of which requests were denied since the last call. */
  reportUse(): void {
    this.use.report(name => this.getOrigin(name));
  }

  [Symbol.dispose](): void {
    for (const group of this.groups) this.closeGroup(group);
    this.groups = [];
  }

  private getOrigin(name: string): QuotaOrigin {
    const {credit} = this.getGroup(name);
    return {
      share: credit.getSource(this.options.timers.now()),
      coordinator: credit.coordinatorId,
    };
  }

  private getPlan(name: string): QuotaPlan | undefined {
    const {view, getTolerance} = this.options;
    const account = view.accounts.getLimited(name);
    const tolerance = getTolerance();
    return account && tolerance && planQuota(account, tolerance);
  }

  private getRank(name: string): number {
    const {members} = this.options;
    const {version} = members;
    const known = this.ranks.get(name);
    if (known?.version === version) return known.rank;
    const rank = members.getRankFor(hash32(name), undefined);
    this.ranks.set(name, {version, rank});
    return rank;
  }

  private getGroup(name: string): Group {
    if (this.groups.length === 0) this.updateGroups();
    const index = getQuotaGroupIndex(name, this.groups.length);
    return this.groups[index] as Group;
  }

  /**
   * Chooses the groups and coordinators anew. Another number of groups assigns the accounts
   * differently, so that credit is discarded as if all coordinators had changed.
   */
  private updateGroups(): void {
    const {members, timers} = this.options;
    const chosen = chooseQuotaGroups(members.getServing(timers.now()));
    if (chosen.length !== this.groups.length) this.replaceGroups(chosen);
    chosen.forEach(({coordinator}, index) => {
      const group = this.groups[index] as Group;
      group.coordinator = coordinator;
      group.credit.setCoordinator(coordinator?.id);
    });
  }

  private replaceGroups(chosen: readonly QuotaGroup[]): void {
    const {id} = this.options;
    const former = this.groups;
    const times = former.map(({credit}) => credit.times);
    const lastReplyAt = Math.max(
      this.startedAt,
      ...times.map(each => each.lastReplyAt),
    );
    const countedUntil = Math.max(
      this.startedAt + HEARD_MS,
      ...times.map(each => each.countedUntil),
    );
    this.ranks.clear();
    this.groups = chosen.map(group => ({
      ...group,
      credit: new QuotaCredit({
        group: group.name,
        id,
        process: this.process,
        lastReplyAt,
        countedUntil,
      }),
      waiters: new Map(),
      requestedAt: -Infinity,
      earlyRequests: new RateBucket(-Infinity),
    }));
    for (const group of former) this.closeGroup(group);
  }

  private closeGroup(group: Group): void {
    group.earlyTimer?.[Symbol.dispose]();
    for (const waiters of group.waiters.values()) {
      for (const waiter of waiters) {
        this.endWait(group, waiter, DENIED);
      }
    }
  }

  private decide(account: ClientAccount, result: QuotaResult): QuotaOutcome {
    const {isGranted, retryAfterMs = 0, giveBack} = result;
    this.use.count(account, isGranted ? QuotaEvent.Granted : QuotaEvent.Denied);
    return {
      isGranted,
      retryAfterMs,
      giveBack: () => giveBack(this.options.timers.now()),
    };
  }

  private wait(group: Group, account: ClientAccount): PendingOutcome {
    const {timers} = this.options;
    const {credit} = group;
    const {name} = account;
    this.use.count(account, QuotaEvent.Waited);
    let cancel = () => {};
    const outcome = new Promise<QuotaOutcome>(resolve => {
      const waiter: Waiter = {
        account,
        request: credit.nextRequest,
        timer: timers.after(MAX_WAIT_MS, () => {
          credit.keepForRepeat(name, timers.now());
          this.endWait(group, waiter, DENIED);
        }),
        resolve,
      };
      const waiters = group.waiters.get(name) ?? new Set();
      group.waiters.set(name, waiters);
      waiters.add(waiter);
      credit.changeWaiting(name, 1);
      cancel = () => this.endWait(group, waiter, undefined);
    });
    this.sendIfDue(group);
    return {outcome, cancel};
  }

  /** Ends a wait with a result, or without one if the caller has left. */
  private endWait(
    group: Group,
    waiter: Waiter,
    result: QuotaResult | undefined,
  ): void {
    const {account, timer, resolve} = waiter;
    const waiters = group.waiters.get(account.name);
    if (!waiters?.delete(waiter)) return;
    if (waiters.size === 0) group.waiters.delete(account.name);
    timer[Symbol.dispose]();
    group.credit.changeWaiting(account.name, -1);
    if (result) resolve(this.decide(account, result));
    else resolve({isGranted: false, retryAfterMs: 0, giveBack: () => {}});
  }

  /** Sends a request that cannot wait for the next periodic one, as soon as the interval allows. */
  private sendIfDue(group: Group): void {
    if (!group.credit.isRequestDue || group.earlyTimer) return;
    const {id, timers} = this.options;
    const now = timers.now();
    const {earlyRequests} = group;
    // This instance asks itself without a datagram, so that no interval is needed.
    const isSelf = group.coordinator?.id === id;
    if (
      isSelf ||
      earlyRequests.take(1, now, EARLY_PER_SECOND, EARLY_BURST) > 0
    ) {
      this.send(group, false);
      return;
    }
    const waitMs = earlyRequests.getWaitMs(now, EARLY_PER_SECOND, EARLY_BURST);
    group.earlyTimer = timers.after(Math.ceil(waitMs), () => {
      group.earlyTimer = undefined;
      this.sendIfDue(group);
    });
  }

  private send(group: Group, isPeriodic: boolean): void {
    const {id, gossipAddress, timers} = this.options;
    const {coordinator, credit} = group;
    if (!coordinator) return;
    for (const request of credit.createRequests(timers.now(), isPeriodic)) {
      if (coordinator.id === id) {
        const reply = this.decideRequest(request);
        if (reply) this.receiveReply(reply);
        continue;
      }
      this.sendTo(coordinator, {
        ...request,
        type: QuotaMessageType.Request,
        replyAddress: gossipAddress,
      });
    }
  }

  private sendTo(target: MemberInfo, message: QuotaMessage): void {
    this.options.send(message, target.gossipAddress);
  }

  private decideRequest(request: QuotaRequest): QuotaReplyMessage | undefined {
    const {view, getTolerance, timers} = this.options;
    if (!getTolerance() || !view.accounts.hasLimits) return undefined;
    const reply = this.ledger.receive(request, timers.now());
    return reply && {type: QuotaMessageType.Reply, ...reply};
  }

  private receiveReply(reply: QuotaReplyMessage): void {
    const {timers} = this.options;
    const group = this.groups.find(({name}) => name === reply.group);
    if (!group?.credit.receiveReply(reply, timers.now())) return;
    for (const [name, , retryAfterMs] of reply.accounts) {
      this.serveWaiters(group, name, reply.request, retryAfterMs);
    }
    this.sendIfDue(group);
  }

  /** Admits waiting requests, and refuses the rest of those for which the reply has no credit. */
  private serveWaiters(
    group: Group,
    name: string,
    request: number,
    retryAfterMs: number,
  ): void {
    for (const waiter of [...(group.waiters.get(name) ?? [])]) {
      const result = group.credit.takeHeld(name, this.options.timers.now());
      if (result) this.endWait(group, waiter, result);
      else if (retryAfterMs > 0 && waiter.request <= request) {
        this.endWait(group, waiter, {...DENIED, retryAfterMs});
      }
    }
  }
}

const DENIED: QuotaResult = {
  isGranted: false,
  retryAfterMs: UNDECIDED_RETRY_MS,
  giveBack: () => {},
};
