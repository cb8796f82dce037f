import {Buffer} from 'node:buffer';
import {URL} from 'node:url';
import {setTimeout} from 'node:timers';
import {Case, sleep} from '../lib-3/case.mjs';
import {ClientConnection} from '../lib-3/client.mjs';
import {SMALL_BOUNDS, startStore, ZONES} from '../lib-3/deployment.mjs';
import {StandInEndpoint} from '../lib-3/endpoint.mjs';
import {Instance} from '../lib-3/instance.mjs';

const HOST = 'proofs.example';
/** Mean work of a proof, and the largest body there. */
const PROOF_WORK_MS = 355;
const PROOF = Buffer.alloc(540_000, 'p');
const READ_WORK_MS = 177;
const DEADLINE_MS = 2_678;
const CLIENTS = 4;
/** How long after the proof was asked for a client sends its next request and reads on. */
const NEXT_AFTER_MS = 600;
/** A client reads at most so much at once, and pauses between. */
const READ_BYTES = 64 * 1024;
const READ_PAUSE_MS = 50;

const play = new Case(new URL('.', import.meta.url).pathname);

/** Reads from the connection slowly, beginning after a pause. */
function readSlowly(client, startMs) {
  const {socket} = client;
  let read = 0;
  socket.pause();
  const resume = () => socket.resume();
  setTimeout(resume, startMs);
  socket.on('data', chunk => {
    read += chunk.length;
    if (read < READ_BYTES) return;
    read = 0;
    socket.pause();
    setTimeout(resume, READ_PAUSE_MS);
  });
}

await play.run(async () => {
  const {record} = play;
  const common = {host: HOST, attempts: 2, 'home-regions': []};
  const store = await startStore(
    play,
    [
      {
        ...common,
        name: 'proof-pdf',
        prefix: '/proof/',
        kind: 'download',
        'timeout-s': 2.6,
        'goal-s': 0.548,
        priority: 2,
        service: 'proofdesk',
      },
      {
        ...common,
        name: 'approval-read',
        prefix: '/approval/',
        kind: 'safe',
        'timeout-s': 2.6,
        'goal-s': 0.301,
        priority: 1,
        service: 'proofdesk',
      },
    ],
    ['proofdesk'],
  );
  const host = play.createHost();
  for (let i = 0; i < 4; i++) {
    const endpoint = new StandInEndpoint({
      id: `i-proofdesk-${i}`,
      service: 'proofdesk',
      zone: i % 2 === 0 ? 'lom-a' : 'lom-b',
      slots: 3,
      store,
      record,
      respond: ({url}) =>
        url.startsWith('/proof/')
          ? {workMs: PROOF_WORK_MS, body: PROOF}
          : {workMs: READ_WORK_MS, body: Buffer.alloc(400, 'a')},
    });
    await endpoint.start(host);
    play.defer(() => endpoint.stop());
  }
  const instance = await Instance.start({
    name: 'front-lom-a-1',
    host: play.createHost(),
    zone: 'lom-a',
    zones: ZONES,
    bounds: SMALL_BOUNDS,
    store: store.address,
    folder: play.folder,
    record,
  });
  play.defer(() => instance.stop());
  if (!(await instance.waitUntilServing())) throw new TypeError('not serving');
  await sleep(4_500);
  const clients = [];
  for (let i = 0; i < CLIENTS; i++) {
    const client = new ClientConnection(instance.front, record);
    play.defer(() => client.close());
    await client.opened;
    clients.push(client);
  }
  const read = (client, id, path) =>
    client.send({id, host: HOST, path, deadlineMs: DEADLINE_MS});
  const first = clients.map((client, i) =>
    read(client, `r-${i}-first`, `/approval/first-${i}`),
  );
  await Promise.all(first.map(({done}) => done));
  if (play.isTroubled) instance.signal('SIGTERM');
  await sleep(500);
  const proofs = clients.map((client, i) => {
    readSlowly(client, NEXT_AFTER_MS + 100);
    return read(client, `r-${i}-proof`, `/proof/${i}`);
  });
  await sleep(NEXT_AFTER_MS);
  const further = clients.map((client, i) =>
    read(client, `r-${i}-next`, `/approval/next-${i}`),
  );
  await Promise.all([...proofs, ...further].map(({done}) => done));
  const lost = proofs.filter(({answer}) => !answer);
  return lost.length > 0
    ? [
        `LOST: ${lost.length} proofs that an endpoint had made have no whole answer`,
      ]
    : [];
});
