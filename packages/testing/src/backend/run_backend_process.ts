import {buildTopology, type SystemSettings} from '@primrosestage/control';
import type {RunRecord} from '../history/records.js';
import {RecordBatch, serveCommands} from '../process/index.js';
import {SeededRandom} from '../random/index.js';
import type {BackendFaults} from './backend_faults.js';
import {BackendServer} from './backend_server.js';

/** Median service time by priority of the service, in milliseconds. */
const SERVICE_MS = {urgent: 12, normal: 25, bulk: 20};

/**
 * Runs the backend servers of all endpoints of a system in this process.
 * @param system - Settings of the system.
 * @param seed - Seed of the service times and faults.
 */
export async function runBackendProcess(
  system: SystemSettings,
  seed: number,
): Promise<void> {
  const topology = buildTopology(system);
  const batch = new RecordBatch<RunRecord>();
  const random = new SeededRandom(seed);
  const servers = new Map<string, BackendServer>();
  for (const {id, address, team, service} of topology.endpoints) {
    const [host = '', port = ''] = address.split(':');
    const {priority} = topology.getServiceOrThrow(team, service);
    const server = new BackendServer({
      host,
      port: Number(port),
      endpointId: id,
      serviceMs: SERVICE_MS[priority],
      random,
      onRun: run => batch.add(run),
    });
    servers.set(id, server);
    await server.start();
  }
  const select = (ids: string[]) =>
    ids.flatMap(id => servers.get(id) ?? []) as BackendServer[];
  serveCommands({
    setFaults: (ids: string[], faults: Partial<BackendFaults>) =>
      select(ids).forEach(server => server.setFaults(faults)),
    setDraining: (ids: string[], isDraining: boolean) =>
      select(ids).forEach(server => server.setDraining(isDraining)),
    silenceConnections: (ids: string[]) =>
      select(ids).forEach(server => server.silenceConnections()),
    crash: (ids: string[]) => Promise.all(select(ids).map(s => s.crash())),
    start: (ids: string[], isCold: boolean) =>
      Promise.all(select(ids).map(s => s.start(isCold))),
    stop: async () => {
      for (const server of servers.values()) await server.crash();
      batch.flush();
    },
  });
}
