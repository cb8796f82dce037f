/** Names what happens in the middle of a scenario. */
export enum SimIncident {
  None = 'none',
  /** A zone loses its instances and endpoints. */
  ZoneLost = 'zone-lost',
  /** The endpoints of a zone restart with cold caches. */
  ZoneCold = 'zone-cold',
  /** An operator drains a region. */
  RegionDrained = 'region-drained',
}

/** Describes a run of the simulation. */
export interface Scenario {
  name: string;
  /** Offered work as a fraction of all slots. */
  load: number;
  /** Factors of the load by region, in the order of the settings. */
  skew: readonly [number, number, number];
  incident: SimIncident;
  /** Time of the incident after the begin of the measurement, in milliseconds. */
  incidentMs: number;
  durationMs: number;
  /** Mean time that a request takes at an endpoint, in milliseconds. */
  meanServiceMs: number;
}

const EVEN: [number, number, number] = [1, 1, 1];

const BASE: Scenario = {
  name: '',
  load: 0.7,
  skew: EVEN,
  incident: SimIncident.None,
  incidentMs: 10_000,
  durationMs: 30_000,
  meanServiceMs: 30,
};

/** Lists the scenarios; longer ones have slower requests to keep the number of events. */
export const SCENARIOS: readonly Scenario[] = [
  {...BASE, name: 'load-50', load: 0.5},
  {...BASE, name: 'load-70', load: 0.7},
  {...BASE, name: 'load-90', load: 0.9},
  {
    ...BASE,
    name: 'skewed-70',
    skew: [1.5, 0.75, 0.75],
    durationMs: 60_000,
  },
  {...BASE, name: 'zone-lost-50', load: 0.5, incident: SimIncident.ZoneLost},
  {...BASE, name: 'zone-cold-50', load: 0.5, incident: SimIncident.ZoneCold},
  {
    ...BASE,
    name: 'region-drained-40',
    load: 0.4,
    incident: SimIncident.RegionDrained,
    durationMs: 260_000,
    meanServiceMs: 150,
  },
];
