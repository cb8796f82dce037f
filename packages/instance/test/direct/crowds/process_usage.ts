import {readdirSync, readFileSync} from 'node:fs';

/** Interval at which a process is sampled, in milliseconds. */
const SAMPLE_INTERVAL_MS = 40;

/** Records the highest memory and number of descriptors of a process. */
export class ProcessUsage implements Disposable {
  maxDescriptors = 0;
  private readonly interval: NodeJS.Timeout;
  private peakMemoryKb = 0;

  /**
   * Starts recording.
   * @param pid - Id of the process.
   */
  constructor(private readonly pid: number) {
    this.interval = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS);
  }

  /** The highest resident memory in MiB. */
  get peakMemoryMb(): number {
    return Math.round(this.peakMemoryKb / 1_024);
  }

  /** Reads the present use; a process that has ended adds nothing. */
  sample(): void {
    try {
      const status = readFileSync(`/proc/${this.pid}/status`, 'utf8');
      const peakKb = Number(/^VmHWM:\s+(\d+)/m.exec(status)?.[1] ?? 0);
      const {length} = readdirSync(`/proc/${this.pid}/fd`);
      this.peakMemoryKb = Math.max(this.peakMemoryKb, peakKb);
      this.maxDescriptors = Math.max(this.maxDescriptors, length);
    } catch {
      // The process has ended, which the test checks by its exit.
    }
  }

  [Symbol.dispose](): void {
    clearInterval(this.interval);
  }
}
