import net from 'node:net';
import {createHash} from 'node:crypto';
import type {TimerService} from '@primrosestage/common';
import {MemoryStore, PRESET_SCHEMA, type Store} from '@primrosestage/control';
import {SYSTEM} from '../../../control/test/support/fixtures.js';
import {serve} from '../../src/serve.js';

/** Running instances that serve two teams. */
export interface RunningInstances extends AsyncDisposable {
  /** URLs of the administration listeners. */
  urls: string[];
}

/** Maps a port to one for this test process, as tests of several checkouts may run concurrently. */
export function getProcessPort(port: number): number {
  return 10_000 + (process.pid % 2_000) * 10 + (port % 10);
}

/**
 * Starts the first instances of the Tesfaye example, with a second team and a shared store.
 * The offset is added to the third byte of their addresses, which is 1 to 6.
 */
export async function startInstances(
  offset: number,
  count: number,
  wrapStore: (store: MemoryStore) => Store = store => store,
): Promise<RunningInstances> {
  const text = JSON.stringify(SYSTEM).replaceAll(
    /127\.20\.(\d+)\.(\d+):(\d+)/g,
    (_, zone, host, port) =>
      `127.50.${Number(zone) + offset}.${host}:${getProcessPort(Number(port))}`,
  );
  const system = JSON.parse(text) as typeof SYSTEM;
  const [team] = system.teams;
  const group = {zone: 'addis-a', addresses: [`127.50.${offset}.9:8080`]};
  system.teams.push({
    ...team!,
    name: 'other',
    tokenSha256: [createHash('sha256').update('other-token').digest('hex')],
    services: [{...team!.services[0]!, name: 'archive', endpoints: [group]}],
    presets: {day: PRESET_SCHEMA.parse({})},
  });
  let store: Store | undefined;
  const createStore = (timers: TimerService) =>
    (store ??= wrapStore(new MemoryStore({timers})));
  const started: AsyncDisposable[] = [];
  const chosen = system.instances.slice(0, count);
  for (const {id} of chosen) {
    const instance = {
      system: '',
      id,
      log: {level: 'error' as const},
      traces: {exporter: 'none' as never, target: ''},
    };
    started.push(await serve({instance, system}, {createStore}));
  }
  return {
    urls: chosen.map(({admin}) => `http://${admin}`),
    [Symbol.asyncDispose]: async () => {
      await Promise.all(started.map(s => s[Symbol.asyncDispose]()));
    },
  };
}

/** Starts a listener that accepts connections and never responds. */
export async function startSilentListener(
  host: string,
  port: number,
): Promise<AsyncDisposable> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer(socket => void sockets.add(socket));
  await new Promise<void>(resolve => server.listen(port, host, resolve));
  return {
    [Symbol.asyncDispose]: async () => {
      for (const socket of sockets) socket.destroy();
      await new Promise(resolve => server.close(resolve));
    },
  };
}
