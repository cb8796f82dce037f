/** An instance is killed while it passes on answers that have no length. */
import {Buffer} from 'node:buffer';
import path from 'node:path';
import {clearInterval, setInterval} from 'node:timers';
import {fileURLToPath} from 'node:url';
import {
  call,
  createConfiguration,
  Endpoint,
  Fleet,
  isTroubled,
  runCase,
  sleep,
  Store,
} from '../lib-2/harness.mjs';

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const HOST = 'patterns.example';
const CALLERS = 6;
const DEADLINE_MS = 4_000;
/** The answer of a library: a first part, and further parts until it is whole. */
const FIRST_BYTES = 1_500_000;
const PART_BYTES = 50_000;
const PARTS = 30;
const PART_INTERVAL_MS = 50;
const WHOLE_BYTES = FIRST_BYTES + PARTS * PART_BYTES;
const KILL_AFTER_MS = 700;

/** Writes an answer without a length, which ends with its connection. */
function answerWithoutLength(req, res, run) {
  res.useChunkedEncodingByDefault = false;
  res.shouldKeepAlive = false;
  res.writeHead(200, {'content-type': 'application/octet-stream'});
  res.write(Buffer.alloc(FIRST_BYTES, 'a'));
  let parts = 0;
  const timer = setInterval(() => {
    if (res.destroyed) {
      clearInterval(timer);
      return;
    }
    res.write(Buffer.alloc(PART_BYTES, 'b'));
    if (++parts < PARTS) return;
    clearInterval(timer);
    run.isWhole = true;
    res.end();
  }, PART_INTERVAL_MS);
}

await runCase(FOLDER, async ({record, onEnd}) => {
  const store = await new Store().start();
  onEnd(() => store.stop());
  const endpoints = [];
  for (const id of ['i-patterns-1', 'i-patterns-2']) {
    const endpoint = await new Endpoint({
      id,
      service: 'patterns',
      zone: 'addis-a',
      slots: 6,
      answer: answerWithoutLength,
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
          name: 'pattern-fetch',
          host: HOST,
          prefix: '/fetch/',
          kind: 'download',
          'goal-s': 0.15,
          service: 'patterns',
        },
      ],
      services: [{name: 'patterns'}],
    }),
  );
  const fleet = new Fleet(store, ['addis-a', 'addis-b']);
  onEnd(() => fleet.stop());
  fleet.startAll();
  if (!(await fleet.waitAllReady())) throw new TypeError('not ready');
  await sleep(1_500);

  const [first, second] = fleet.instances;
  const calls = [];
  for (let i = 0; i < CALLERS; i++) {
    calls.push(
      call(first.front, {
        host: HOST,
        path: `/fetch/${i}`,
        object: i,
        deadlineMs: DEADLINE_MS,
      }),
    );
  }
  await sleep(KILL_AFTER_MS);
  if (isTroubled) {
    record.write(`SIGKILL to ${first.id}`);
    first.child.kill('SIGKILL');
  }
  const results = await Promise.all(calls);
  const runs = new Map(
    endpoints.flatMap(({runs}) => runs.map(run => [run.requestId, run])),
  );
  let broken = 0;
  let whole = 0;
  for (const {requestId, status, stamp, size, isComplete, error} of results) {
    const looksWhole = status === 200 && stamp !== undefined && isComplete;
    const isWhole = size === WHOLE_BYTES;
    if (looksWhole && !isWhole) broken++;
    if (looksWhole && isWhole) whole++;
    record.write(
      `${requestId}: status ${status}, stamp ${stamp}, ${size} of ${WHOLE_BYTES} bytes, ` +
        `ends as a whole answer: ${looksWhole}, error ${error ?? 'none'}, ` +
        `endpoint ran it: ${runs.has(requestId)}`,
    );
  }
  const after = await call(second.front, {
    host: HOST,
    path: '/fetch/after',
    object: 'after',
    deadlineMs: DEADLINE_MS,
  });
  record.write(
    `afterwards at ${second.id}: status ${after.status}, ${after.size} bytes`,
  );
  record.write(`whole ${whole}, cut off but looking whole ${broken}`);
  if (!isTroubled && whole < CALLERS) throw new TypeError('not all served');
  return broken > 0;
});
