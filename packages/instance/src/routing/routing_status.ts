import type {LinkStatus} from './link_meter.js';

/** Reports the shares of one service and source region. */
export interface ShareStatus {
  team: string;
  service: string;
  sourceRegion: string;
  /** Weights in force by region. */
  shares: Record<string, number>;
  /** Weights that the shares move towards. */
  target: Record<string, number>;
  /** Movement in the last interval, as total variation. */
  shift: number;
  shiftCap: number;
  /** Fraction of the last interval's requests that left the region selected for them. */
  spilled: number;
}

/** Reports the free slots of a service in a region. */
export interface HeadroomStatus {
  team: string;
  service: string;
  region: string;
  slots: number;
  freeSlots: number;
  /** Age of the measurement in milliseconds; null where there is none. */
  ageMs: number | null;
  isDrained: boolean;
  isFailed: boolean;
}

/** Reports what an instance knows and does about routing. */
export interface RoutingStatus {
  shares: ShareStatus[];
  headroom: HeadroomStatus[];
  links: LinkStatus[];
  /** Requests for which shares, caps and links allowed no target. */
  refused: number;
}
