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

/** Applies until a team's document is known. */
const DEFAULT_PRESET: Preset = PRESET_SCHEMA.parse({});

/** Window over which the demand of a service is averaged, in milliseconds. */
const DEMAND_WINDOW_MS = 3_000;

/**
 * Weight of a new measurement in the exponential moving average of free slots; with an update each
 * 500 ms the average covers about 3 s. Single measurements vary by several slots even if the load
 * is constant.
 */
const SMOOTHING_FACTOR = 0.15;

/** Holds the shares and the demand of one service and source region. */
export interface ShareEntry {
  service: Service;
  sourceRegion: string;
  state: ShareState;
  /** Sum of the latencies of the requests that ended in the window, in milliseconds. */
  latencySumMs: SlidingWindowCounter;
  /** Moving average of the free fraction of slots by region; undefined if there is no fresh one. */
  meanFreeFractions: (number | undefined)[];
}

/** Configures a share table. */
export interface ShareTableOptions {
  topology: Topology;
  configuration: ConfigurationView;
  getInstanceCount(region: string): number;
  measure(service: Service, region: string, nowMs: number): RegionMeasurement;
}

/** Keeps the shares of all services and source regions at this instance. */
export class ShareTable {
  private readonly entries = new Map<string, ShareEntry>();
  private readonly initialShares = new Map<string, ShareVector>();

  constructor(private readonly options: ShareTableOptions) {}

  /**
   * Sets the shares with which a service starts.
   * @param serviceKey - Key of the service.
   * @param sourceRegion - The source region.
   * @param weights - Weights by region, from a peer of that region.
   */
  setInitialShares(
    serviceKey: string,
    sourceRegion: string,
    weights: Record<string, number>,
  ): void {
    const {regions} = this.options.topology;
    const initialVector = normalizeShares(
      regions.map(name => weights[name] ?? 0),
    );
    if (initialVector)
      this.initialShares.set(`${serviceKey}/${sourceRegion}`, initialVector);
  }

  /**
   * Gets the shares of a service and source region, which are created at the first call.
   * @param service - The service.
   * @param sourceRegion - The source region.
   * @param nowMs - Current time in milliseconds.
   */
  getEntry(service: Service, sourceRegion: string, nowMs: number): ShareEntry {
    const key = `${getServiceKey(service)}/${sourceRegion}`;
    let entry = this.entries.get(key);
    if (!entry) {
      const initialVector =
        this.initialShares.get(key) ?? this.getBaseline(service, sourceRegion);
      entry = {
        service,
        sourceRegion,
        state: new ShareState(initialVector, this.getPreset(service), nowMs),
        latencySumMs: new SlidingWindowCounter(DEMAND_WINDOW_MS),
        meanFreeFractions: [],
      };
      this.entries.set(key, entry);
    }
    return entry;
  }

  /** Gets all shares. */
  getEntries(): Iterable<ShareEntry> {
    return this.entries.values();
  }

  /** Gets the preset of a service's team, or the default if none is known yet. */
  getPreset(service: Service): Preset {
    return this.options.configuration.getPreset(service.team) ?? DEFAULT_PRESET;
  }

  /**
   * Shifts all shares towards their targets.
   * @param nowMs - Current time in milliseconds.
   * @returns Names of the regions whose share is to rise but whose measurements are stale.
   */
  update(nowMs: number): Set<string> {
    const {topology, getInstanceCount, measure} = this.options;
    const staleRegions = new Set<string>();
    for (const entry of this.getEntries()) {
      const {service, sourceRegion, state, latencySumMs} = entry;
      const preset = this.getPreset(service);
      const measurements = topology.regions.map((region, i) =>
        smoothFreeSlots(entry, i, measure(service, region, nowMs)),
      );
      state.update(
        {
          baseline: this.getBaseline(service, sourceRegion),
          measurements,
          headroom: preset.headroom,
          demandSlots:
            (latencySumMs.get(nowMs) / DEMAND_WINDOW_MS) *
            Math.max(1, getInstanceCount(sourceRegion)),
          cap: preset,
        },
        nowMs,
      );
      topology.regions.forEach((region, i) => {
        const isRising =
          (state.targetVector[i] ?? 0) > (state.vector[i] ?? 0) + 1e-9;
        const isStale =
          (measurements[i]?.ageMs ?? Infinity) > MAX_MEASUREMENT_AGE_MS;
        if (isRising && isStale) staleRegions.add(region);
      });
    }
    return staleRegions;
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

/**
 * Replaces the free slots of a fresh measurement by their moving average; a stale measurement
 * resets the average.
 */
function smoothFreeSlots(
  {meanFreeFractions}: ShareEntry,
  region: number,
  measurement: RegionMeasurement,
): RegionMeasurement {
  const {slots, freeSlots, ageMs} = measurement;
  if (slots === 0 || ageMs > MAX_MEASUREMENT_AGE_MS) {
    meanFreeFractions[region] = undefined;
    return measurement;
  }
  const freeFraction = freeSlots / slots;
  const previousMean = meanFreeFractions[region] ?? freeFraction;
  const mean = previousMean + SMOOTHING_FACTOR * (freeFraction - previousMean);
  meanFreeFractions[region] = mean;
  return {...measurement, freeSlots: mean * slots};
}
