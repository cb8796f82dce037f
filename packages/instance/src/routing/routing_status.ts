import type {LinkStatus} from './link_meter.js';

/** Reports the shares of one service and source region. */
export interface ShareStatus {
  team: string;
  service: string;
  sourceRegion: string;
  /** Current weights by region. */
  shares: Record<string, number>;
  /** Target weights by region, which the shares approach within the shift cap. */
  target: Record<string, number>;
  /** Traffic shifted in the last shift interval, as total variation. */
  shift: number;
  shiftCap: number;
  /** Fraction of requests that spilled over from their selected region in the last interval. */
  spilled: number;
}

/** Reports the free slots of a service in a region. */
export interface HeadroomStatus {
  team: string;
  service: string;
  region: string;
  slots: number;
  freeSlots: number;
  /** Age of the measurement in milliseconds; null if there is none. */
  ageMs: number | null;
  isDrained: boolean;
  isFailed: boolean;
}

/** Reports the state of routing at an instance. */
export interface RoutingStatus {
  shares: ShareStatus[];
  headroom: HeadroomStatus[];
  links: LinkStatus[];
  /** Number of requests for which shares, caps and links allowed no target. */
  refused: number;
}
