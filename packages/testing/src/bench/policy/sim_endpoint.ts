import type {Endpoint} from '@primrosestage/steering';
import type {SimClock} from './sim_clock.js';

/** Time that a restarted endpoint takes to warm its caches, in milliseconds. */
const CACHE_WARMUP_MS = 10_000;

/** Factor on service times right after a restart. */
const COLD_FACTOR = 4;

/** Interval between load reports, which is also their delay, in milliseconds. */
const REPORT_MS = 1_000;

interface Job {
  serviceMs: number;
  done: () => void;
}

/** Simulates a backend server with slots, a queue and load reports that are late or wrong. */
export class SimEndpoint {
  /** Number of requests that found all slots busy. */
  exceededCount = 0;
  /** Number of requests that arrived. */
  arrivalCount = 0;
  /** Load according to the last report that has arrived. */
  reportedLoad = 0;
  private readonly queue: Job[] = [];
  private readonly endTimesMs: number[] = [];
  private running = 0;
  private restartedAtMs = -Infinity;

  constructor(
    readonly info: Endpoint,
    private readonly clock: SimClock,
    readonly isMisreporting: boolean,
  ) {
    clock.every(REPORT_MS, () => {
      const load = this.isMisreporting ? 0 : this.outstanding;
      clock.at(clock.now() + REPORT_MS, () => (this.reportedLoad = load));
    });
  }

  /** Number of requests that run or wait. */
  get outstanding(): number {
    return this.running + this.queue.length;
  }

  /** Number of requests that run. */
  get busy(): number {
    return this.running;
  }

  /** Runs or queues a request and calls back when it has run. */
  run(serviceMs: number, done: () => void): void {
    this.arrivalCount++;
    const job = {serviceMs: serviceMs * this.getServiceTimeFactor(), done};
    if (this.running >= this.info.slots) {
      this.exceededCount++;
      this.queue.push(job);
    } else {
      this.start(job);
    }
  }

  /** Restarts the endpoint with cold caches. */
  restart(): void {
    this.restartedAtMs = this.clock.now();
  }

  /** Gets the exact time until a new request would start, in milliseconds. */
  getWaitMs(): number {
    if (this.running < this.info.slots) return 0;
    const nowMs = this.clock.now();
    const ends = this.endTimesMs
      .filter(end => end > nowMs)
      .sort((a, b) => a - b);
    for (const {serviceMs} of this.queue) {
      const first = ends.shift() ?? nowMs;
      ends.push(first + serviceMs);
      ends.sort((a, b) => a - b);
    }
    return Math.max(0, (ends[0] ?? nowMs) - nowMs);
  }

  /** Gets the current factor on service times. */
  getServiceTimeFactor(): number {
    const ageMs = this.clock.now() - this.restartedAtMs;
    if (ageMs >= CACHE_WARMUP_MS) return 1;
    return COLD_FACTOR - ((COLD_FACTOR - 1) * ageMs) / CACHE_WARMUP_MS;
  }

  private start(job: Job): void {
    this.running++;
    const endMs = this.clock.now() + job.serviceMs;
    this.endTimesMs.push(endMs);
    this.clock.at(endMs, () => {
      this.running--;
      this.endTimesMs.splice(this.endTimesMs.indexOf(endMs), 1);
      job.done();
      const next = this.queue.shift();
      if (next) this.start(next);
    });
  }
}
