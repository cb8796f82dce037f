import {z} from 'zod';

/** Validates the routing report that an instance sends to others. */
export const ROUTING_REPORT_SCHEMA = z.object({
  region: z.string(),
  /** Share vectors of its own region by service key and target region. */
  shares: z.record(z.string(), z.record(z.string(), z.number().min(0))),
  /** Measurements of its own region by service key. */
  regionLoad: z.record(
    z.string(),
    z.object({
      slots: z.number().min(0),
      freeSlots: z.number(),
      ageMs: z.number().min(0),
    }),
  ),
});

/** Holds the shares and measurements that an instance reports of its own region. */
export type RoutingReport = z.infer<typeof ROUTING_REPORT_SCHEMA>;

/** Holds the free slots that an owner reported in a heartbeat. */
export interface FreeSlotsReport {
  freeSlots: number;
  /** Age of the report in milliseconds. */
  ageMs: number;
}
