import type {QuotaRequest} from './quota_message.js';
import {HEARD_MS, HOLD_MS} from './quota_timing.js';

/** Shortest time between two counts of the heard instances, in milliseconds. */
const COUNT_INTERVAL_MS = 20;
/** Longest time for which an account that has no state saves up credit, in milliseconds. */
const MAX_IDLE_EARNED_MS = 60_000;

/** Credit granted by a reply that is not known to have arrived. */
export interface PendingGrant {
  number: number;
  sentAt: number;
  account: string;
  amount: number;
}

/** An instance that asks this coordinator for credit. */
export interface HeardInstance {
  process: number;
  lastRequest: number;
  /** Replies that may still be acknowledged in time. */
  replies: {number: number; sentAt: number}[];
  /** Time at which the last reply that counts as acknowledged was sent. */
  heardAt: number;
  lastReplyAt: number;
  pending: PendingGrant[];
}

/**
 * Tracks for one group of accounts which instances the coordinator exchanges messages with, and
 * the time of the full rate that it has earned with them. An instance that is cut off or asks
 * another coordinator no longer counts 1.25 s after the last reply that it has acknowledged, before
 * it uses its fixed share or counts elsewhere.
 */
export class HeardInstances {
  readonly instances = new Map<string, HeardInstance>();
  private currentFraction = 0;
  private earnedTotalMs = 0;
  private idleMs = 0;

  /**
   * Creates a coordinator's state, which has earned nothing.
   * @param process - Number of this process.
   * @param countedAt - Current monotonic time in milliseconds.
   */
  constructor(
    private readonly process: number,
    private countedAt: number,
  ) {}

  /** Fraction of the instances that are heard, of all that may be alive. */
  get fraction(): number {
    return this.currentFraction;
  }

  /** Time multiplied by the heard fraction since the start, in milliseconds; never decreases. */
  get earnedMs(): number {
    return this.earnedTotalMs;
  }

  /**
   * The part of the earned time for which an account without state may have saved up credit, in
   * milliseconds. It decreases with the heard fraction, since the instances that left may get the
   * credit elsewhere.
   */
  get idleEarnedMs(): number {
    return this.idleMs;
  }

  /**
   * Records a request.
   * @param request - The request.
   * @returns The sender and whether its process is new, or undefined if a later request was
   *     received before.
   */
  recordRequest(
    request: QuotaRequest,
  ): {instance: HeardInstance; isNewProcess: boolean} | undefined {
    const known = this.instances.get(request.from);
    const isNewProcess = known?.process !== request.process;
    if (!isNewProcess && known && request.number <= known.lastRequest) {
      return undefined;
    }
    const instance =
      known && !isNewProcess ? known : createInstance(request.process);
    this.instances.set(request.from, instance);
    instance.lastRequest = request.number;
    if (request.receivedFrom === this.process && request.isCounted) {
      this.recordAcknowledgement(instance, request.received);
    }
    return {instance, isNewProcess};
  }

  /**
   * Records a reply.
   * @param instance - The receiver.
   * @param number - Number of the reply.
   * @param now - Monotonic time in milliseconds.
   */
  recordReply(instance: HeardInstance, number: number, now: number): void {
    instance.lastReplyAt = now;
    instance.replies = instance.replies.filter(
      ({sentAt}) => now - sentAt <= HEARD_MS,
    );
    instance.replies.push({number, sentAt: now});
  }

  /**
   * Counts the heard instances and the time earned since the last count. If the count has changed,
   * the lower one applies to the time between, since it is not known when it did: a coordinator
   * that was frozen earns nothing for that time.
   * @param now - Monotonic time in milliseconds.
   * @param instances - Number of instances that may be alive; Infinity if it is unknown.
   */
  update(now: number, instances: number): void {
    const elapsedMs = now - this.countedAt;
    if (elapsedMs < COUNT_INTERVAL_MS) return;
    let heard = 0;
    for (const {heardAt} of this.instances.values()) {
      if (now - heardAt <= HEARD_MS) heard++;
    }
    const before = this.currentFraction;
    const fraction = Math.min(1, heard / instances);
    const earnedMs = elapsedMs * Math.min(before, fraction);
    this.countedAt = now;
    this.currentFraction = fraction;
    this.earnedTotalMs += earnedMs;
    this.idleMs = Math.min(MAX_IDLE_EARNED_MS, this.idleMs + earnedMs);
    if (fraction < before) this.idleMs *= fraction / before;
  }

  /**
   * Removes the instances that have certainly discarded their credit.
   * @param now - Monotonic time in milliseconds.
   * @returns Their ids.
   */
  removeSilent(now: number): string[] {
    const silent = [...this.instances].filter(
      ([, {lastReplyAt}]) => now - lastReplyAt > HOLD_MS,
    );
    for (const [id] of silent) this.instances.delete(id);
    return silent.map(([id]) => id);
  }

  private recordAcknowledgement(
    instance: HeardInstance,
    received: number,
  ): void {
    const reply = instance.replies.find(({number}) => number === received);
    if (reply) instance.heardAt = Math.max(instance.heardAt, reply.sentAt);
  }
}

function createInstance(process: number): HeardInstance {
  return {
    process,
    lastRequest: 0,
    replies: [],
    heardAt: -Infinity,
    lastReplyAt: -Infinity,
    pending: [],
  };
}
