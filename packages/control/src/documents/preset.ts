import {z} from 'zod';

const FRACTION = z.number().min(0).max(1);
const SHARES = z.record(z.string(), z.number().min(0));

/** Checks a preset. */
export const PRESET_SCHEMA = z.strictObject({
  /**
   * Baseline weights by service, source region and target region; by default, all requests stay in
   * the source region.
   */
  shares: z.record(z.string(), z.record(z.string(), SHARES)).default({}),
  /** Maximum change of a share vector per interval, as total variation distance. */
  shiftCap: FRACTION.default(0.1),
  /** Length of the interval of `shiftCap` in milliseconds. */
  shiftIntervalMs: z.number().int().min(100).max(3_600_000).default(10_000),
  /** Fraction of an owner's slots that requests from other regions may not use. */
  headroom: FRACTION.default(0.2),
  /** Maximum wait for a slot in milliseconds. */
  maxQueueMs: z.number().int().min(0).max(10_000).default(50),
  /** Time to live of a lookup response in seconds. */
  lookupTtlSeconds: z.number().int().min(1).max(3600).default(10),
  /** Cap in Mbit/s by link direction `from>to`; by default, the capacity of the link. */
  linkCaps: z.record(z.string(), z.number().positive()).default({}),
});

/** Holds steering parameters that operators store under a name and put in force together. */
export type Preset = z.infer<typeof PRESET_SCHEMA>;
