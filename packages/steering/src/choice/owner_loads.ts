import {Outcome} from '@primrosestage/common';

/**
 * Half-life of the weight of a report of free slots, in milliseconds. Slots are occupied and freed
 * within the duration of one request, so that older reports are inaccurate.
 */
const REPORT_HALF_LIFE_MS = 250;

interface OwnerLoad {
  inFlight: number;
  /** Free slots in the last report. */
  reportedFreeSlots: number;
  /** Time of the report in milliseconds; -Infinity if there is none. */
  reportedAtMs: number;
  /** Requests in flight from this instance when the report was recorded. */
  inFlightAtReport: number;
}

/** Tracks requests in flight from this instance and reported free slots by owner and service. */
export class OwnerLoads {
  private readonly loads = new Map<string, OwnerLoad>();

  /**
   * Counts a request that is sent to an owner.
   * @param key - Owner and service.
   */
  recordStart(key: string): void {
    this.getLoad(key).inFlight++;
  }

  /**
   * Counts the end of a request and records the free slots reported with the response.
   * @param key - Owner and service.
   * @param outcome - Outcome of the request.
   * @param freeSlots - Reported free slots, if known.
   * @param nowMs - Present time in milliseconds.
   */
  recordEnd(
    key: string,
    outcome: Outcome,
    freeSlots: number | undefined,
    nowMs: number,
  ): void {
    const load = this.getLoad(key);
    load.inFlight = Math.max(0, load.inFlight - 1);
    const reported = outcome === Outcome.NotRun ? (freeSlots ?? 0) : freeSlots;
    if (reported !== undefined) this.recordReport(key, reported, 0, nowMs);
  }

  /**
   * Records a report of free slots unless a newer one is known.
   * @param key - Owner and service.
   * @param freeSlots - Free slots at the time of the report.
   * @param ageMs - Age of the report in milliseconds.
   * @param nowMs - Present time in milliseconds.
   */
  recordReport(
    key: string,
    freeSlots: number,
    ageMs: number,
    nowMs: number,
  ): void {
    const load = this.getLoad(key);
    if (nowMs - ageMs < load.reportedAtMs) return;
    load.reportedFreeSlots = freeSlots;
    load.reportedAtMs = nowMs - ageMs;
    load.inFlightAtReport = load.inFlight;
  }

  /** Gets the number of requests in flight from this instance to an owner. */
  getInFlight(key: string): number {
    return this.loads.get(key)?.inFlight ?? 0;
  }

  /**
   * Gets the age of the last report.
   * @param key - Owner and service.
   * @param nowMs - Present time in milliseconds.
   * @returns The age in milliseconds; Infinity if there is none.
   */
  getReportAgeMs(key: string, nowMs: number): number {
    return nowMs - (this.loads.get(key)?.reportedAtMs ?? -Infinity);
  }

  /** Gets the free slots that an owner reported last; 0 if there is no report. */
  getReportedFreeSlots(key: string): number {
    return this.loads.get(key)?.reportedFreeSlots ?? 0;
  }

  /**
   * Estimates the free slots of an owner: the last report, corrected by the change of
   * requests in flight from this instance since then. As the report ages, the estimate decays to the
   * capacity less the requests in flight.
   * @param key - Owner and service.
   * @param capacity - Slots that the owner has.
   * @param nowMs - Present time in milliseconds.
   * @returns The estimate; below 0 if requests must queue.
   */
  estimateFreeSlots(key: string, capacity: number, nowMs: number): number {
    const load = this.loads.get(key);
    if (!load) return capacity;
    const prior = capacity - load.inFlight;
    const ageMs = nowMs - load.reportedAtMs;
    if (ageMs === Infinity) return prior;
    const weight = 2 ** (-ageMs / REPORT_HALF_LIFE_MS);
    const sentSince = load.inFlight - load.inFlightAtReport;
    const reported = Math.min(load.reportedFreeSlots - sentSince, prior);
    return weight * reported + (1 - weight) * prior;
  }

  /**
   * Removes the loads without requests in flight whose keys are not listed.
   * @param keys - The keys to keep.
   */
  retain(keys: ReadonlySet<string>): void {
    for (const [key, load] of this.loads) {
      if (load.inFlight === 0 && !keys.has(key)) this.loads.delete(key);
    }
  }

  private getLoad(key: string): OwnerLoad {
    let load = this.loads.get(key);
    if (!load) {
      load = {
        inFlight: 0,
        reportedFreeSlots: 0,
        reportedAtMs: -Infinity,
        inFlightAtReport: 0,
      };
      this.loads.set(key, load);
    }
    return load;
  }
}
