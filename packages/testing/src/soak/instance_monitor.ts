import type {Cluster} from '../cluster/index.js';
import {fetchText} from '../http/index.js';

const SCRAPE_INTERVAL_MS = 250;
const SCRAPE_TIMEOUT_MS = 1_000;
const VIOLATION =
  /^primrose_invariant_violations_total\{name="(\w+)"\} (\d+)/gm;
const REVISION = /^primrose_configuration_revision\{[^}]*\} (\d+)/m;
/** Time within which an accepted configuration must be in force at all instances. */
const MAX_PROPAGATION_MS = 5_000;

/** Period in which an instance is exempt from the time limit of configuration changes. */
export interface Exemption {
  instance: string;
  startMs: number;
  endMs: number;
}

/** Reads the metrics of all instances during a soak test. */
export class InstanceMonitor implements AsyncDisposable {
  /** Decreases of a reported revision, with instance and time. */
  readonly reverts: string[] = [];
  private readonly revisions = new Map<
    string,
    {atMs: number; revision: number}[]
  >();
  private readonly violations = new Map<string, number>();
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly cluster: Cluster) {
    this.timer = setInterval(
      () => void this.scrape().catch(() => {}),
      SCRAPE_INTERVAL_MS,
    );
  }

  /** Sums the violations of each invariant over all processes. */
  countViolations(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const [key, count] of this.violations) {
      const [, , name = ''] = key.split('/');
      counts.set(name, (counts.get(name) ?? 0) + count);
    }
    return counts;
  }

  /**
   * Measures how long a change took to be in force at all instances.
   * @param change - Revision and time of its acceptance.
   * @param exemptions - Periods in which instances were down, paused or partitioned.
   * @returns The longest time in ms and the instances that took more than 5 s.
   */
  measurePropagation(
    change: {revision: number; atMs: number},
    exemptions: Exemption[],
  ): {propagationMs: number; late: string[]} {
    const dueMs = change.atMs + MAX_PROPAGATION_MS;
    let propagationMs = 0;
    const late: string[] = [];
    for (const {id} of this.cluster.topology.instances) {
      const isExempt = exemptions.some(
        exemption =>
          exemption.instance === id &&
          exemption.startMs <= dueMs &&
          // After the exemption an instance has the same time to apply the change.
          exemption.endMs + MAX_PROPAGATION_MS >= change.atMs,
      );
      if (isExempt) continue;
      const seen = this.revisions
        .get(id)
        ?.find(r => r.atMs >= change.atMs && r.revision >= change.revision);
      const tookMs = seen ? seen.atMs - change.atMs : Infinity;
      if (Number.isFinite(tookMs))
        propagationMs = Math.max(propagationMs, tookMs);
      if (tookMs > MAX_PROPAGATION_MS + SCRAPE_INTERVAL_MS) {
        late.push(`${id} after ${tookMs} ms`);
      }
    }
    return {propagationMs, late};
  }

  /** Gets the last revision that each instance reported. */
  getLastRevisions(): Map<string, number> {
    return new Map(
      [...this.revisions].map(([id, seen]) => [id, seen.at(-1)?.revision ?? 0]),
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.timer);
  }

  /** Reads the metrics of all instances once. */
  async scrape(): Promise<void> {
    await Promise.all(
      this.cluster.topology.instances.map(async ({id, adminAddress}) => {
        const {pid} = this.cluster.getInstance(id);
        const answer = await fetchText(`http://${adminAddress}/metrics`, {
          timeoutMs: SCRAPE_TIMEOUT_MS,
        });
        if (answer?.status === 200) this.read(id, pid, answer.text);
      }),
    );
  }

  private read(id: string, pid: number, text: string): void {
    for (const [, name = '', count] of text.matchAll(VIOLATION)) {
      this.violations.set(`${id}/${pid}/${name}`, Number(count));
    }
    const revision = Number(REVISION.exec(text)?.[1] ?? 0);
    if (revision === 0) return;
    const seen = this.revisions.get(id) ?? [];
    const last = seen.at(-1)?.revision ?? 0;
    if (revision < last) {
      this.reverts.push(
        `${id} went from revision ${last} to ${revision} at ${new Date().toISOString()}`,
      );
    }
    seen.push({atMs: Date.now(), revision});
    this.revisions.set(id, seen);
  }
}
