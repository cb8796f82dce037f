/** Describes the link between two regions; the capacity applies to each direction. */
export interface Link {
  regions: [string, string];
  capacityMbit: number;
  oneWayLatencyMs: number;
}
