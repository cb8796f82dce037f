import {z} from 'zod';

const FRACTION = z.number().min(0).max(1);
const SHARES = z.record(z.string(), z.number().min(0));

/** Checks a preset. */
export const PRESET_SCHEMA = z.strictObject({
  /** Baseline: service to source region to target region to weight; where absent, the source region takes all. */
  shares: z.record(z.string(), z.record(z.string(), SHARES)).default({}),
  /** Largest movement of a share vector in an interval, as total variation. */
  shiftCap: FRACTION.default(0.1),
  /** Length of the interval of `shiftCap` in milliseconds. */
  shiftIntervalMs: z.number().int().min(100).max(3_600_000).default(10_000),
  /** Fraction of an owner's slots that requests from other regions may not use. */
  headroom: FRACTION.default(0.2),
  /** Longest wait for a slot in milliseconds. */
  maxQueueMs: z.number().int().min(0).max(10_000).default(50),
  /** Lifetime of a lookup answer in seconds. */
  lookupTtlSeconds: z.number().int().min(1).max(3600).default(10),
  /** Cap per link as `from>to` to Mbit/s; where absent, the capacity of the link. */
  linkCaps: z.record(z.string(), z.number().positive()).default({}),
});

/** Holds what the operators choose for one kind of day. */
export type Preset = z.infer<typeof PRESET_SCHEMA>;
