import {Priority} from '@primrosestage/common';
import {buildTopology, type SystemSettings} from '@primrosestage/control';
import type {AttemptRecord} from '../ledger/records.js';
import {RecordBatch, serveCommands} from '../process/index.js';
import {SeededRandom} from '../random/index.js';
import {Caller} from './caller.js';

const TICK_MS = 10;
const CALLERS_PER_ZONE = 3;
/** Most requests in progress; beyond it the load generator itself would distort results. */
const MAX_OPEN = 3_000;
/** Share of all requests by priority of the service. */
const MIX = {
  [Priority.Urgent]: 0.68,
  [Priority.Normal]: 0.3,
  [Priority.Bulk]: 0.02,
};

/**
 * Runs callers in all zones in this process.
 * @param system - Settings of the system.
 * @param seed - Seed of the request mix.
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
  // Callers of zone n have addresses 127.x.n.y, where x is the instances' number plus 1.
  const [, second = ''] = system.store.address.split('.');
  const callers = topology.zones.flatMap((zone, i) =>
    Array.from(
      {length: CALLERS_PER_ZONE},
      (_, n) =>
        new Caller({
          zone: zone.name,
          localAddress: `127.${Number(second) + 1}.${i + 1}.${n + 1}`,
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
  let credit = 0;
  let count = 0;
  let open = 0;
  setInterval(() => {
    credit += (ratePerSecond * TICK_MS) / 1_000;
    for (; credit >= 1; credit--) {
      if (open >= MAX_OPEN) continue;
      const draw = random.float();
      const priority =
        draw < MIX.urgent
          ? Priority.Urgent
          : draw < MIX.urgent + MIX.normal
            ? Priority.Normal
            : Priority.Bulk;
      const service = random.pick(
        services.filter(s => s.priority === priority),
      );
      open++;
      void random
        .pick(callers)
        .sendRequest(service, `r${seed}-${++count}`)
        .finally(() => open--);
    }
  }, TICK_MS);
  serveCommands({
    setRate: (perSecond: number) => (ratePerSecond = perSecond),
    getOpen: () => open,
    stop: () => batch.flush(),
  });
}
