/** Describes the link between two regions; capacity holds for each direction. */
export interface Link {
  regions: [string, string];
  capacityMbit: number;
  oneWayLatencyMs: number;
}
