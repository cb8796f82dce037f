/** Callers pipeline safe requests while one of two instances is killed. */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  createConfiguration,
  Endpoint,
  Fleet,
  isTroubled,
  now,
  runCase,
  sleep,
  Store,
} from '../lib-2/harness.mjs';
import {PipeliningCaller, recordAnswers} from '../lib-2/pipelining_caller.mjs';

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const HOST = 'hydrometre.example';
/** The smallest machines of vigie-crue-grown. */
const MACHINE = {'memory-mb': 202, 'max-fds': 2069};
const ZONES = ['addis-a', 'addis-b'];
const KILLED = 1;
const ENDPOINTS = 60;
/** Time of a run and deadline of the sheet's gauge level reads. */
const WORK_MS = 749;
const DEADLINE_MS = 4_257;
/** With 8 requests each, 512 at a time: 683 a second, where the sheet has 689 in all. */
const CALLERS = 64;
const PIPELINED = 8;
const RUN_MS = 20_000;
const KILL_AT_MS = 6_000;
/** Time for which the killed instance is down, as in herd_kill of the site file. */
const DOWN_MS = 2_000;

const formatHead = id => {
  const object = Math.floor(Math.random() * 164);
  return (
    `GET /niveaux/${object} HTTP/1.1\r\nHost: ${HOST}\r\n` +
    `Primrosestage-Request-Id: ${id}\r\n` +
    `Cookie: Primrosestage-Affinity-Key=${object}\r\n` +
    `Primrosestage-Deadline-Ms: ${DEADLINE_MS}\r\n\r\n`
  );
};

await runCase(FOLDER, async ({record, onEnd}) => {
  const store = await new Store().start();
  onEnd(() => store.stop());
  const endpoints = [];
  for (let i = 0; i < ENDPOINTS; i++) {
    const endpoint = await new Endpoint({
      id: `i-hydrometre-${i}`,
      service: 'hydrometre',
      zone: ZONES[i % ZONES.length],
      slots: 12,
      queue: 24,
      workMs: WORK_MS,
    }).start();
    onEnd(() => endpoint.stop());
    endpoint.register(store);
    endpoints.push(endpoint);
  }
  store.put(
    'op/config',
    createConfiguration({
      routes: [
        {
          name: 'niveaux',
          host: HOST,
          prefix: '/niveaux/',
          kind: 'safe',
          'timeout-s': 4,
          'goal-s': 0.6,
          service: 'hydrometre',
        },
      ],
      services: [{name: 'hydrometre', 'max-conns': 2800}],
    }),
  );
  const fleet = new Fleet(store, ZONES, MACHINE);
  onEnd(() => fleet.stop());
  fleet.startAll();
  if (!(await fleet.waitAllReady())) throw new TypeError('not ready');
  await sleep(2_000);

  const alive = new Set(fleet.instances);
  const startedAt = now();
  const endAt = startedAt + RUN_MS;
  const callers = [];
  for (let i = 0; i < CALLERS; i++) {
    const own = fleet.instances[i % ZONES.length];
    const getTarget = () => {
      if (alive.has(own)) return own.front;
      const others = [...alive];
      return others[Math.floor(i / ZONES.length) % others.length].front;
    };
    callers.push(
      new PipeliningCaller({
        name: `caller ${i}`,
        getTarget,
        formatHead,
        batches: [PIPELINED],
        deadlineMs: DEADLINE_MS,
      }),
    );
  }
  const runs = callers.map(async (caller, i) => {
    await sleep(i * 30);
    await caller.run(endAt);
  });
  await sleep(KILL_AT_MS);
  const survivors = fleet.instances.slice(KILLED);
  const killed = isTroubled ? fleet.instances.slice(0, KILLED) : [];
  const killedAt = now();
  for (const instance of killed) {
    alive.delete(instance);
    instance.child.kill('SIGKILL');
    record.write(`${instance.id} is killed`);
  }
  if (isTroubled) await sleep(DOWN_MS);
  for (const instance of killed) {
    await instance.exited;
    fleet.start(instance);
    if (await fleet.waitReady(instance)) alive.add(instance);
    record.write(`${instance.id} is back`);
  }
  await Promise.all(runs);

  const liveTargets = new Set(survivors.map(({front}) => front));
  const started = new Set(
    endpoints.flatMap(({runs: all}) => all.map(({requestId}) => requestId)),
  );
  let broken = 0;
  for (const {id, name, target, sentAt, endedAt} of callers.flatMap(
    caller => caller.lost,
  )) {
    const isSurvivor = liveTargets.has(target);
    const isPassedOn = started.has(id);
    if (isSurvivor && isPassedOn) broken++;
    record.write(
      `${id} of ${name}: ${isSurvivor ? 'an instance that lives' : 'a killed instance'} closed the ` +
        `connection ${Math.round(endedAt - sentAt)} ms after it was sent, ` +
        `${Math.round(endedAt - killedAt)} ms after the kill; passed on: ${isPassedOn}`,
    );
  }
  recordAnswers(record, callers);
  for (const {log} of survivors) {
    for (const line of log.join('').split('\n')) {
      if (line.includes('"limits reached"')) record.write(line);
    }
  }
  record.write(`lost at instances that live, though passed on: ${broken}`);
  return broken > 3;
});
