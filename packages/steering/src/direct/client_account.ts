/** A client account, to which requests belong by the key that they carry. */
export interface ClientAccount {
  name: string;
  /** Keys by which callers identify the account. */
  keys: readonly string[];
  /** Priority that replaces that of the route; undefined if the route's applies. */
  priority?: number;
  /** Requests per second over all instances together; 0 for no limit. */
  ratePerSecond: number;
  /** Requests beyond the rate that may arrive at once. */
  burst: number;
  /** Regions in which requests of the account may run; empty for all regions. */
  homeRegions: readonly string[];
}
