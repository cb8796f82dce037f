import {loadSettings} from '@primrosestage/control';
import {SeededRandom} from '../../random/index.js';
import {listInstances, StoreServer} from '../../store/index.js';

/**
 * Starts a simulated store at the address in the settings of the benchmark.
 * @param file - Settings of one of the instances.
 * @returns The running store, which lists all instances as live.
 */
export async function startBenchStore(file: string): Promise<StoreServer> {
  const {system} = loadSettings(file);
  const [host = '', port = '0'] = system.store.address.split(':');
  const store = new StoreServer({
    host,
    port: Number(port),
    random: new SeededRandom(1),
    instances: listInstances(system),
  });
  await store.start();
  return store;
}
