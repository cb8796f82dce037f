import {Priority} from '@primrosestage/common';
import {buildTopology, type SystemSettings} from '@primrosestage/control';
import type {AttemptRecord} from '../history/records.js';
import {RecordBatch, serveCommands} from '../process/index.js';
import {SeededRandom} from '../random/index.js';
import {Caller} from './caller.js';

const TICK_MS = 10;
const CALLERS_PER_ZONE = 3;
/** Maximum number of open requests; with more, the load generator itself distorts the results. */
const MAX_OPEN_REQUESTS = 3_000;
/** Fraction of all requests by priority of the service. */
const PRIORITY_MIX = {
  [Priority.Urgent]: 0.68,
  [Priority.Normal]: 0.3,
  [Priority.Bulk]: 0.02,
};

/**
 * Runs callers in all zones in this process.
 * @param system - Settings of the system.
 * @param seed - Seed of the request mix and of the callers' choices.
 */
export async function runCallerProcess(
  system: SystemSettings,
  seed: number,
): Promise<void> {
  const topology = buildTopology(system);
  const batch = new RecordBatch<AttemptRecord>();
  const random = new SeededRandom(seed);
  const [team] = system.teams;
  const services = topology.services.filter(s => s.team === team?.name);
  // Callers of zone n have addresses 127.x.n.y, where x is the second octet of the store's
  // address plus 1.
  const [, secondOctet = ''] = system.store.address.split('.');
  const callers = topology.zones.flatMap((zone, i) =>
    Array.from(
      {length: CALLERS_PER_ZONE},
      (_, n) =>
        new Caller({
          zone: zone.name,
          localAddress: `127.${Number(secondOctet) + 1}.${i + 1}.${n + 1}`,
          team: team?.name ?? '',
          addresses: topology.instances
            .filter(({region}) => region === zone.region)
            .concat(topology.instances)
            .map(({publicAddress}) => publicAddress),
          random,
          onAttempt: attempt => batch.add(attempt),
        }),
    ),
  );
  let ratePerSecond = 0;
  let dueRequests = 0;
  let requestCount = 0;
  let openRequests = 0;
  setInterval(() => {
    dueRequests += (ratePerSecond * TICK_MS) / 1_000;
    for (; dueRequests >= 1; dueRequests--) {
      if (openRequests >= MAX_OPEN_REQUESTS) continue;
      const draw = random.float();
      const priority =
        draw < PRIORITY_MIX.urgent
          ? Priority.Urgent
          : draw < PRIORITY_MIX.urgent + PRIORITY_MIX.normal
            ? Priority.Normal
            : Priority.Bulk;
      const service = random.pick(
        services.filter(s => s.priority === priority),
      );
      openRequests++;
      void random
        .pick(callers)
        .sendRequest(service, `r${seed}-${++requestCount}`)
        .finally(() => openRequests--);
    }
  }, TICK_MS);
  serveCommands({
    setRate: (perSecond: number) => (ratePerSecond = perSecond),
    countOpenRequests: () => openRequests,
    flush: () => batch.flush(),
  });
}
