import {
  buildTopology,
  InstanceState,
  type ListedInstance,
  type SystemSettings,
} from '@primrosestage/control';
import {serveCommands} from '../process/index.js';
import {SeededRandom} from '../random/index.js';
import type {StoreFaults} from './store_faults.js';
import {StoreServer} from './store_server.js';

/**
 * Runs the simulated store in this process.
 * @param system - Settings of the system.
 * @param seed - Seed of the faults.
 */
export async function runStoreProcess(
  system: SystemSettings,
  seed: number,
): Promise<void> {
  const [host = '', port = ''] = system.store.address.split(':');
  const store = new StoreServer({
    host,
    port: Number(port),
    random: new SeededRandom(seed),
    instances: listInstances(system),
  });
  await store.start();
  serveCommands({
    setFaults: (faults: Partial<StoreFaults>) => store.setFaults(faults),
    setInstances: (instances: ListedInstance[]) =>
      store.instanceList.set(instances),
    getCallCounts: () => store.callCounts,
    stop: () => store[Symbol.asyncDispose](),
  });
}

/** Lists all instances of the settings, each in the state `live`. */
export function listInstances(system: SystemSettings): ListedInstance[] {
  return buildTopology(system).instances.map(instance => ({
    id: instance.id,
    zone: instance.zone,
    region: instance.region,
    internal: instance.internalAddress,
    public: instance.publicAddress,
    state: InstanceState.Live,
  }));
}
