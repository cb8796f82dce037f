/** Incident that occurs during a scenario. */
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
  /** Offered load as a fraction of all slots. */
  load: number;
  /** Load factors of the regions, in the order of the settings. */
  skew: readonly [number, number, number];
  incident: SimIncident;
  /** Time from the start of the measurement to the incident, in milliseconds. */
  incidentMs: number;
  durationMs: number;
  /** Mean service time of a request at an endpoint, in milliseconds. */
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

/** Lists the scenarios; the longest has slower requests to limit the number of events. */
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
