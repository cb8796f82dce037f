/** Callers pipeline safe requests while a few endpoints are slow. */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import path from 'node:path';
import {clearTimeout, setTimeout} from 'node:timers';
import {fileURLToPath} from 'node:url';
import {
  createConfiguration,
  createRequestId,
  Endpoint,
  Fleet,
  isTroubled,
  now,
  runCase,
  sleep,
  Store,
} from '../lib-2/harness.mjs';

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const HOST = 'tracker.example';
const ENDPOINTS = 40;
const WORK_MS = 1_500;
/** Share and factor of the slow endpoints, at most those of srv_slow in the site file. */
const SLOW_SHARE = 0.15;
const SLOW_FACTOR = 5;
const CALLERS = 20;
const PIPELINED = 32;
const DEADLINE_MS = 8_200;
const RUN_MS = 92_000;

/** A caller that sends further safe requests before the first one has been answered. */
class PipeliningCaller {
  lost = [];
  answers = new Map();
  answered = 0;
  waiting = [];
  buffer = Buffer.alloc(0);

  constructor(target, name) {
    this.target = target;
    this.name = name;
  }

  async run(endAt) {
    while (now() < endAt) {
      await this.connect();
      while (this.isOpen && now() < endAt) {
        await this.exchange(1);
        if (this.isOpen) await this.exchange(PIPELINED);
      }
      this.socket.destroy();
    }
  }

  async connect() {
    this.socket = net.connect(this.target);
    this.buffer = Buffer.alloc(0);
    await new Promise((resolve, reject) => {
      this.socket.once('connect', resolve);
      this.socket.once('error', reject);
    });
    this.isOpen = true;
    const end = () => this.handleEnd();
    this.socket.on('error', end);
    this.socket.on('close', end);
    this.socket.on('data', chunk => this.receive(chunk));
  }

  /** Sends requests at once and waits for their answers, or for the end of the connection. */
  async exchange(count) {
    const texts = [];
    for (let i = 0; i < count; i++) {
      const id = createRequestId();
      const object = Math.floor(Math.random() * 1_000);
      this.waiting.push({id, sentAt: now()});
      texts.push(
        `GET /status/${object} HTTP/1.1\r\nHost: ${HOST}\r\n` +
          `Primrosestage-Request-Id: ${id}\r\n` +
          `Cookie: Primrosestage-Affinity-Key=${object}\r\n` +
          `Primrosestage-Deadline-Ms: ${DEADLINE_MS}\r\n\r\n`,
      );
    }
    this.socket.write(texts.join(''));
    await new Promise(resolve => {
      this.wake = resolve;
      this.timer = setTimeout(() => {
        this.hasGivenUp = true;
        this.socket.destroy();
      }, DEADLINE_MS);
    });
    clearTimeout(this.timer);
  }

  receive(chunk) {
    this.buffer = Buffer.concat([this.buffer, chunk]);
    for (;;) {
      const headEnd = this.buffer.indexOf('\r\n\r\n');
      if (headEnd < 0) return;
      const head = this.buffer.subarray(0, headEnd).toString('latin1');
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
      if (this.buffer.length < headEnd + 4 + length) return;
      this.buffer = this.buffer.subarray(headEnd + 4 + length);
      const {sentAt} = this.waiting.shift();
      const status = head.slice(9, 12);
      const ms = Math.round((now() - sentAt) / 1_000) * 1_000;
      const key = `${status} in ${ms} ms`;
      this.answers.set(key, (this.answers.get(key) ?? 0) + 1);
      this.answered++;
      if (/connection: close/i.test(head)) this.isClosing = true;
      if (this.waiting.length === 0) this.wake?.();
    }
  }

  handleEnd() {
    if (!this.isOpen) return;
    this.isOpen = false;
    if (!this.hasGivenUp && !this.isClosing) {
      const endedAt = now();
      this.lost.push(
        ...this.waiting.map(each => ({...each, endedAt, caller: this.name})),
      );
    }
    this.isClosing = false;
    this.hasGivenUp = false;
    this.waiting = [];
    this.wake?.();
  }
}

await runCase(FOLDER, async ({record, onEnd}) => {
  const store = await new Store().start();
  onEnd(() => store.stop());
  const endpoints = [];
  for (let i = 0; i < ENDPOINTS; i++) {
    const isSlow = isTroubled && i < ENDPOINTS * SLOW_SHARE;
    const endpoint = await new Endpoint({
      id: `i-tracker-${i}`,
      service: 'tracker',
      zone: i % 2 ? 'addis-a' : 'addis-b',
      slots: 12,
      queue: 24,
      workMs: isSlow ? WORK_MS * SLOW_FACTOR : WORK_MS,
    }).start();
    endpoint.isSlow = isSlow;
    onEnd(() => endpoint.stop());
    endpoint.register(store);
    endpoints.push(endpoint);
  }
  store.put(
    'op/config',
    createConfiguration({
      routes: [
        {
          name: 'status-read',
          host: HOST,
          prefix: '/status/',
          kind: 'safe',
          'goal-s': 4,
          service: 'tracker',
          attempts: 1,
        },
      ],
      services: [{name: 'tracker'}],
    }),
  );
  const fleet = new Fleet(store, ['addis-a', 'addis-b']);
  onEnd(() => fleet.stop());
  fleet.startAll();
  if (!(await fleet.waitAllReady())) throw new TypeError('not ready');
  await sleep(1_000);

  const endAt = now() + RUN_MS;
  const callers = [];
  for (let i = 0; i < CALLERS; i++) {
    callers.push(
      new PipeliningCaller(fleet.instances[i % 2].front, `caller ${i}`),
    );
  }
  await Promise.all(
    callers.map(async (caller, i) => {
      await sleep(i * 300);
      await caller.run(endAt);
    }),
  );
  const runs = new Map();
  for (const endpoint of endpoints) {
    for (const {requestId} of endpoint.runs) runs.set(requestId, endpoint);
  }
  const lost = callers.flatMap(caller => caller.lost);
  const answered = callers.reduce((sum, caller) => sum + caller.answered, 0);
  let onSound = 0;
  for (const {id, caller, sentAt, endedAt} of lost) {
    const endpoint = runs.get(id);
    if (endpoint && !endpoint.isSlow) onSound++;
    record.write(
      `${id} of ${caller}: connection closed by the instance ${Math.round(endedAt - sentAt)} ms ` +
        `after it was sent, passed on to: ${endpoint ? endpoint.id : 'none'}` +
        `${endpoint?.isSlow ? ' (slow)' : ''}`,
    );
  }
  const answers = new Map();
  for (const caller of callers) {
    for (const [key, count] of caller.answers) {
      answers.set(key, (answers.get(key) ?? 0) + count);
    }
  }
  for (const key of [...answers.keys()].sort()) {
    record.write(`${key}: ${answers.get(key)}`);
  }
  record.write(`answered ${answered}, lost ${lost.length}`);
  record.write(`lost though passed on to a sound endpoint: ${onSound}`);
  return onSound > 3;
});
