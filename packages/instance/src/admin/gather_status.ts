import type {TimerService} from '@primrosestage/common';
import type {InstanceInfo} from '@primrosestage/steering';
import PQueue from 'p-queue';
import type {InstanceStatus} from './instance_status.js';
import type {InstanceReport} from './team_status.js';

/** Maximum number of concurrent calls; 4,400 instances at 60 ms each take about 1 s. */
const MAX_CONCURRENT_CALLS = 256;
/** Time after which instances that have not responded count as unreachable. */
const GATHER_TIMEOUT_MS = 3_000;

/** Configures the collection of the status of all instances. */
export interface GatherStatusOptions {
  self: InstanceInfo;
  instances: readonly InstanceInfo[];
  timers: TimerService;
  getOwnStatus: () => InstanceStatus;
  /** Fetches the status of another instance; rejects if it does not respond. */
  fetchStatus: (instance: InstanceInfo) => Promise<InstanceStatus>;
}

/**
 * Collects the status of all instances in bounded time.
 * @param options - Instances and functions that get their status.
 * @returns One report per instance, in the order of the instances.
 */
export async function gatherStatus(
  options: GatherStatusOptions,
): Promise<InstanceReport[]> {
  const {self, instances, timers, getOwnStatus, fetchStatus} = options;
  const statuses = new Map<string, InstanceStatus>([[self.id, getOwnStatus()]]);
  const queue = new PQueue({concurrency: MAX_CONCURRENT_CALLS});
  for (const instance of instances) {
    if (instance.id === self.id) continue;
    void queue.add(async () => {
      const status = await fetchStatus(instance).catch(() => undefined);
      if (status) statuses.set(instance.id, status);
    });
  }
  const abort = new AbortController();
  await Promise.race([
    queue.onIdle(),
    timers.sleep(GATHER_TIMEOUT_MS, abort.signal),
  ]);
  abort.abort();
  queue.clear();
  return instances.map(instance => ({
    instance,
    status: statuses.get(instance.id),
  }));
}
