import {
  type ConfigurationView,
  type Preset,
  PRESET_SCHEMA,
} from '@primrosestage/control';
import {
  MAX_MEASUREMENT_AGE_MS,
  getServiceKey,
  normalizeShares,
  type RegionMeasurement,
  type Service,
  ShareState,
  type ShareVector,
  SlidingWindowCounter,
  type Topology,
} from '@primrosestage/steering';

/** Applies where no document of a team is known yet. */
const DEFAULT_PRESET: Preset = PRESET_SCHEMA.parse({});

/** Window over which the demand of a service is averaged, in milliseconds. */
const DEMAND_WINDOW_MS = 3_000;

/**
 * Weight of a new measurement in the mean of free slots; with an update each 500 ms it covers
 * about 3 s. Single measurements vary by several slots even where the load is constant.
 */
const MEAN_WEIGHT = 0.15;

/** Holds the shares and the demand of one service and source region. */
export interface ShareEntry {
  service: Service;
  sourceRegion: string;
  state: ShareState;
  /** Sum of the latencies of the requests that ended in the window, in milliseconds. */
  busyMs: SlidingWindowCounter;
  /** Mean free part of the slots by region. */
  meanFree: (number | undefined)[];
}

/** Configures the book. */
export interface ShareBookOptions {
  topology: Topology;
  configuration: ConfigurationView;
  getMemberCount(region: string): number;
  measure(service: Service, region: string, nowMs: number): RegionMeasurement;
}

/** Keeps the shares of all services and source regions at this instance. */
export class ShareBook {
  private readonly entries = new Map<string, ShareEntry>();
  private readonly starts = new Map<string, ShareVector>();

  constructor(private readonly options: ShareBookOptions) {}

  /**
   * Sets the vector from which a service's shares begin.
   * @param serviceKey - Key of the service.
   * @param sourceRegion - The source region.
   * @param weights - Weights by region, from a peer of that region.
   */
  setStart(
    serviceKey: string,
    sourceRegion: string,
    weights: Record<string, number>,
  ): void {
    const {regions} = this.options.topology;
    const start = normalizeShares(regions.map(name => weights[name] ?? 0));
    if (start) this.starts.set(`${serviceKey}/${sourceRegion}`, start);
  }

  /**
   * Gets the shares of a service and source region; they begin at the first call.
   * @param service - The service.
   * @param sourceRegion - The source region.
   * @param nowMs - Present time in milliseconds.
   */
  getEntry(service: Service, sourceRegion: string, nowMs: number): ShareEntry {
    const key = `${getServiceKey(service)}/${sourceRegion}`;
    let entry = this.entries.get(key);
    if (!entry) {
      const start =
        this.starts.get(key) ?? this.getBaseline(service, sourceRegion);
      entry = {
        service,
        sourceRegion,
        state: new ShareState(start, this.getPreset(service), nowMs),
        busyMs: new SlidingWindowCounter(DEMAND_WINDOW_MS),
        meanFree: [],
      };
      this.entries.set(key, entry);
    }
    return entry;
  }

  /** Gets all shares. */
  getEntries(): Iterable<ShareEntry> {
    return this.entries.values();
  }

  /** Gets the preset of a service's team; the default one where none is known yet. */
  getPreset(service: Service): Preset {
    return this.options.configuration.getPreset(service.team) ?? DEFAULT_PRESET;
  }

  /**
   * Moves all shares towards their targets.
   * @param nowMs - Present time in milliseconds.
   * @returns Names of the regions that would rise but lack fresh measurements.
   */
  update(nowMs: number): Set<string> {
    const {topology, getMemberCount, measure} = this.options;
    const unmeasured = new Set<string>();
    for (const entry of this.getEntries()) {
      const {service, sourceRegion, state, busyMs} = entry;
      const preset = this.getPreset(service);
      const measurements = topology.regions.map((region, i) =>
        average(entry, i, measure(service, region, nowMs)),
      );
      state.update(
        {
          baseline: this.getBaseline(service, sourceRegion),
          measurements,
          headroom: preset.headroom,
          demandSlots:
            (busyMs.get(nowMs) / DEMAND_WINDOW_MS) *
            Math.max(1, getMemberCount(sourceRegion)),
          cap: preset,
        },
        nowMs,
      );
      topology.regions.forEach((region, i) => {
        const isWanted =
          (state.targetVector[i] ?? 0) > (state.vector[i] ?? 0) + 1e-9;
        const isStale =
          (measurements[i]?.ageMs ?? Infinity) > MAX_MEASUREMENT_AGE_MS;
        if (isWanted && isStale) unmeasured.add(region);
      });
    }
    return unmeasured;
  }

  private getBaseline(service: Service, sourceRegion: string): ShareVector {
    const {regions} = this.options.topology;
    const weights =
      this.getPreset(service).shares[service.name]?.[sourceRegion] ?? {};
    return (
      normalizeShares(regions.map(name => weights[name] ?? 0)) ??
      regions.map(name => (name === sourceRegion ? 1 : 0))
    );
  }
}

/** Replaces the free slots of a fresh measurement by their mean over the last seconds. */
function average(
  {meanFree}: ShareEntry,
  region: number,
  measurement: RegionMeasurement,
): RegionMeasurement {
  const {slots, freeSlots, ageMs} = measurement;
  if (slots === 0 || ageMs > MAX_MEASUREMENT_AGE_MS) {
    meanFree[region] = undefined;
    return measurement;
  }
  const free = freeSlots / slots;
  const before = meanFree[region] ?? free;
  const mean = before + MEAN_WEIGHT * (free - before);
  meanFree[region] = mean;
  return {...measurement, freeSlots: mean * slots};
}
