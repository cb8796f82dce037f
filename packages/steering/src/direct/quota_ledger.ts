import {type HeardInstance, HeardInstances} from './heard_instances.js';
import {LentCredit} from './lent_credit.js';
import type {QuotaPlan} from './plan_quota.js';
import type {GrantedCredit, QuotaReply, QuotaRequest} from './quota_message.js';
import {HOLD_MS, UNDECIDED_RETRY_MS} from './quota_timing.js';

/** Configures a coordinator. */
export interface QuotaLedgerOptions {
  /** Id of this instance. */
  id: string;
  /** Number of this process; not 0. */
  process: number;
  /** Returns the plan of an account; undefined if it is unknown or has no limit. */
  getPlan: (account: string) => QuotaPlan | undefined;
  /** Returns the number of instances that may be alive; Infinity if it is unknown. */
  getInstances: () => number;
}

interface Group {
  heard: HeardInstances;
  accounts: Map<string, LentCredit>;
}

/**
 * Lends credit of accounts to the instances that ask this one. A restarted coordinator has no
 * state: it earns credit anew with the instances that acknowledge its replies, which have discarded
 * the credit of its former process. Lost replies are noticed by their numbers, so that credit in
 * them is lent again.
 */
export class QuotaLedger {
  private readonly groups = new Map<string, Group>();
  private replyCount = 0;

  constructor(private readonly options: QuotaLedgerOptions) {}

  /**
   * Decides a request for credit.
   * @param request - The request.
   * @param now - Monotonic time in milliseconds.
   * @returns The reply; undefined if a later request of the sender was received before.
   */
  receive(request: QuotaRequest, now: number): QuotaReply | undefined {
    const group = this.getGroup(request.group, now);
    const sender = group.heard.recordRequest(request);
    if (!sender) return undefined;
    const {instance, isNewProcess} = sender;
    if (isNewProcess) removeHolder(group, request.from);
    if (request.receivedFrom === this.options.process) {
      settleReceived(group, request, instance);
    }
    group.heard.update(now, this.options.getInstances());
    const number = ++this.replyCount;
    const accounts: GrantedCredit[] = [];
    for (const [name, held, target, returned] of request.accounts) {
      const credit = this.getCredit(group, name, now);
      if (!credit) {
        if (target > 0) accounts.push([name, 0, UNDECIDED_RETRY_MS, 0]);
        continue;
      }
      credit.recordHeld(request.from, held, returned, now);
      credit.refill(this.options.getPlan(name) as QuotaPlan);
      const {granted, retryAfterMs} = credit.grant(request.from, target, now);
      accounts.push([name, granted, retryAfterMs, credit.reserve]);
      if (granted === 0) continue;
      instance.pending.push({
        number,
        sentAt: now,
        account: name,
        amount: granted,
      });
    }
    group.heard.recordReply(instance, number, now);
    const {id, process} = this.options;
    return {
      group: request.group,
      from: id,
      process,
      number,
      request: request.number,
      accounts,
    };
  }

  /**
   * Drops the state of accounts, holders and groups that are not in use.
   * @param now - Monotonic time in milliseconds.
   */
  prune(now: number): void {
    for (const [name, group] of this.groups) {
      for (const id of group.heard.removeSilent(now)) removeHolder(group, id);
      for (const [id, instance] of group.heard.instances) {
        settleLost(group, id, instance, now);
      }
      group.heard.update(now, this.options.getInstances());
      for (const [account, credit] of group.accounts) {
        const plan = this.options.getPlan(account);
        if (plan) credit.refill(plan);
        if (!plan || credit.prune(now)) group.accounts.delete(account);
      }
      if (group.heard.instances.size === 0) this.groups.delete(name);
    }
  }

  private getGroup(name: string, now: number): Group {
    let group = this.groups.get(name);
    if (!group) {
      const heard = new HeardInstances(this.options.process, now);
      group = {heard, accounts: new Map()};
      this.groups.set(name, group);
    }
    return group;
  }

  private getCredit(
    group: Group,
    name: string,
    now: number,
  ): LentCredit | undefined {
    const plan = this.options.getPlan(name);
    if (!plan) return undefined;
    let credit = group.accounts.get(name);
    if (!credit) {
      credit = new LentCredit(plan, group.heard, now);
      group.accounts.set(name, credit);
    }
    return credit;
  }
}

/**
 * Settles the grants up to the last reply that the holder has received. They count as held until
 * the holder states what it has, although an earlier reply may have been lost.
 */
function settleReceived(
  group: Group,
  request: QuotaRequest,
  instance: HeardInstance,
): void {
  if (instance.pending.length === 0) return;
  instance.pending = instance.pending.filter(({number, account, amount}) => {
    if (number > request.received) return true;
    group.accounts.get(account)?.settle(request.from, amount, true);
    return false;
  });
}

/** Settles grants that cannot be used any more, as those to a holder that gets no replies. */
function settleLost(
  group: Group,
  id: string,
  instance: HeardInstance,
  now: number,
): void {
  instance.pending = instance.pending.filter(({sentAt, account, amount}) => {
    if (now - sentAt <= HOLD_MS) return true;
    group.accounts.get(account)?.settle(id, amount, false);
    return false;
  });
}

function removeHolder(group: Group, id: string): void {
  for (const credit of group.accounts.values()) credit.removeHolder(id);
}
