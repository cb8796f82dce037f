import {z} from 'zod';

/** Checks what an instance tells others of its routing. */
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

/** Holds what an instance tells others of its routing. */
export type RoutingReport = z.infer<typeof ROUTING_REPORT_SCHEMA>;

/** Holds the free slots that an owner reported in a heartbeat. */
export interface FreeSlotsReport {
  freeSlots: number;
  /** Age of the report in milliseconds. */
  ageMs: number;
}
