import {Priority} from '@primrosestage/common';
import {TokenBucket, type TokenBucketOptions} from './token_bucket.js';

/** Identifies the kind of traffic on a link, seen from the instance in the source region. */
export enum LinkUse {
  /** Request bodies, from the source region to the region of the endpoints. */
  Request = 'request',
  /** Response bodies, from the region of the endpoints to the source region. */
  Response = 'response',
}

/**
 * Fractions of a direction's cap. Requests of one region's instances and responses to the other
 * region's instances share a direction, so that each use gets a fixed fraction. The remainder is
 * for headers and control traffic, which are not metered.
 */
const FRACTION_BY_USE: Record<LinkUse, number> = {
  [LinkUse.Request]: 0.25,
  [LinkUse.Response]: 0.7,
};

/** Largest burst, as time at the full rate in milliseconds. */
const BURST_MS = 100;

/** Minimum burst size in bits: one 64 KiB chunk of a stream. */
const MIN_BURST_BITS = 64 * 1024 * 8;

/** Fraction of the bucket that is reserved for requests of other priorities than bulk. */
const BULK_RESERVE_FRACTION = 0.3;

/** Describes one instance's allocation of one direction of a link. */
export interface LinkBudgetOptions {
  /** Cap of the direction in Mbit/s. */
  capMbit: number;
  /** Number of instances in the source region. */
  members: number;
  use: LinkUse;
}

/** Meters the traffic of one instance on one direction of a link. */
export class LinkBudget {
  private readonly bucket: TokenBucket;
  private grantedBits = 0;

  /**
   * Creates the budget with a full bucket.
   * @param options - Cap, members and use.
   * @param nowMs - Present time in milliseconds.
   */
  constructor(options: LinkBudgetOptions, nowMs: number) {
    this.bucket = new TokenBucket(getBucketOptions(options), nowMs);
  }

  /** The bits granted so far. */
  get totalBits(): number {
    return this.grantedBits;
  }

  /**
   * Changes the cap or the number of members.
   * @param options - Cap, members and use.
   * @param nowMs - Present time in milliseconds.
   */
  configure(options: LinkBudgetOptions, nowMs: number): void {
    this.bucket.configure(getBucketOptions(options), nowMs);
  }

  /**
   * Takes up to a number of bits; bulk requests get only the bits above the reserve.
   * @param bits - Bits to send.
   * @param priority - Priority of the service.
   * @param nowMs - Present time in milliseconds.
   * @returns The bits that may be sent now.
   */
  takeBits(bits: number, priority: Priority, nowMs: number): number {
    const granted = this.bucket.takeUpTo(
      bits,
      this.getReserve(priority),
      nowMs,
    );
    this.grantedBits += granted;
    return granted;
  }

  /**
   * Gets the time until bits may be taken.
   * @param bits - Bits to send.
   * @param priority - Priority of the service.
   * @param nowMs - Present time in milliseconds.
   * @returns The time in milliseconds; 0 if they may be taken now.
   */
  getWaitMs(bits: number, priority: Priority, nowMs: number): number {
    return this.bucket.getWaitMs(bits + this.getReserve(priority), nowMs);
  }

  /**
   * Checks whether new requests may use the link.
   * @param priority - Priority of the service.
   * @param nowMs - Present time in milliseconds.
   * @returns False if no bits may be sent now, so that a stream would have to wait.
   */
  hasCapacity(priority: Priority, nowMs: number): boolean {
    return this.bucket.getTokens(nowMs) > this.getReserve(priority);
  }

  /**
   * Gets the utilization of the bucket.
   * @param nowMs - Present time in milliseconds.
   * @returns A fraction between 0 and 1.
   */
  getUtilization(nowMs: number): number {
    return 1 - this.bucket.getTokens(nowMs) / this.bucket.size;
  }

  private getReserve(priority: Priority): number {
    return priority === Priority.Bulk
      ? this.bucket.size * BULK_RESERVE_FRACTION
      : 0;
  }
}

function getBucketOptions(options: LinkBudgetOptions): TokenBucketOptions {
  const fraction = FRACTION_BY_USE[options.use] / Math.max(1, options.members);
  const ratePerSecond = options.capMbit * 1e6 * fraction;
  const burstBits = (ratePerSecond * BURST_MS) / 1000;
  return {ratePerSecond, size: Math.max(burstBits, MIN_BURST_BITS)};
}
