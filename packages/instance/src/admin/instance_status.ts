import {DrainKind} from '@primrosestage/control';
import {ConfigurationSource} from '@primrosestage/steering';
import {z} from 'zod';

const SHARE_SCHEMA = z.object({
  service: z.string(),
  sourceRegion: z.string(),
  /** Weights in force, by target region. */
  shares: z.record(z.string(), z.number()),
});

const HEADROOM_SCHEMA = z.object({
  service: z.string(),
  region: z.string(),
  slots: z.number(),
  freeSlots: z.number(),
  /** Age of the measurement in milliseconds; null if there is none. */
  ageMs: z.number().nullable(),
});

/** Schema of the status that an instance reports to another one for `GET status`. */
export const INSTANCE_STATUS_SCHEMA = z.object({
  isReady: z.boolean(),
  /** The document in force; null if there is none. */
  configuration: z
    .object({
      revision: z.number(),
      active: z.string(),
      ageMs: z.number(),
      source: z.enum(ConfigurationSource),
      drains: z.array(z.object({kind: z.enum(DrainKind), target: z.string()})),
    })
    .nullable(),
  shares: z.array(SHARE_SCHEMA),
  headroom: z.array(HEADROOM_SCHEMA),
});

/** Status of one team as reported by an instance. */
export type InstanceStatus = z.infer<typeof INSTANCE_STATUS_SCHEMA>;

/** Traffic shares of a service for requests from one region. */
export type ShareReport = z.infer<typeof SHARE_SCHEMA>;

/** Free slots of a service in a region. */
export type HeadroomReport = z.infer<typeof HEADROOM_SCHEMA>;
