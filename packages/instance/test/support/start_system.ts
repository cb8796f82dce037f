import {setTimeout as sleep} from 'node:timers/promises';
import type {ConnectFunction} from '@primrosestage/common';
import {
  INSTANCE_SETTINGS_SCHEMA,
  InstanceState,
  type LoadedSettings,
  MemoryStore,
  SYSTEM_SETTINGS_SCHEMA,
} from '@primrosestage/control';
import {serve} from '@primrosestage/instance';
import {
  type BackendHandler,
  startBackend,
  type TestBackend,
} from './start_backend.js';
import {call} from './call.js';
import {getTestPort} from './get_test_port.js';

/** Configures a system with one region and one zone. */
export interface SystemOptions {
  /** Third byte of all addresses, which must differ between test files. */
  subnet: number;
  instances?: number;
  endpoints?: number;
  slots?: number;
  timing?: Record<string, number>;
  preset?: Record<string, unknown>;
  handle?: BackendHandler;
  connect?: ConnectFunction;
  /** File that receives the spans of all instances. */
  traceFile?: string;
}

/** A running system. */
export interface TestSystem {
  readonly backends: TestBackend[];
  /** URL of the service at an instance, given by its index. */
  getUrl(instance: number): string;
  /** Starts an instance again after `stop`. */
  start(instance: number): Promise<void>;
  stop(instance: number): Promise<void>;
  /** Prefix of the idempotency keys whose home instance is the given one. */
  getKeyPrefix(instance: number): Promise<string>;
  /** Sum of a metric over its labels. */
  getMetric(instance: number, name: string): Promise<number>;
  stopAll(): Promise<void>;
}

/** Starts instances and fake backend servers in this process. */
export async function startSystem(options: SystemOptions): Promise<TestSystem> {
  const addressPrefix = `127.40.${options.subnet}`;
  const {instances = 1, endpoints = 1} = options;
  const addresses = range(endpoints).map(
    i => `${addressPrefix}.${100 + i}:${getTestPort(3)}`,
  );
  const ids = range(instances).map(i => `r-a-${i}`);
  const system = SYSTEM_SETTINGS_SCHEMA.parse({
    regions: ['r'],
    zones: [{name: 'r-a', region: 'r'}],
    links: [],
    store: {address: `${addressPrefix}.250:7900`, region: 'r'},
    instances: ids.map((id, i) => ({
      id,
      zone: 'r-a',
      public: `${addressPrefix}.${i + 1}:${getTestPort(0)}`,
      internal: `${addressPrefix}.${i + 1}:${getTestPort(1)}`,
      admin: `${addressPrefix}.${i + 1}:${getTestPort(2)}`,
    })),
    teams: [
      {
        name: 't',
        tokenSha256: ['0'.repeat(64)],
        services: [
          {
            name: 's',
            priority: 'normal',
            slots: options.slots ?? 2,
            maxConnections: 100,
            endpoints: [{zone: 'r-a', addresses}],
          },
        ],
        presets: {day: options.preset ?? {}},
        active: 'day',
      },
    ],
    blocks: [],
    timing: {drainNoticeMs: 0, ...options.timing},
  });
  const running = new Map<number, AsyncDisposable>();
  const listedIndexes = new Set<number>();
  const listInstances = () =>
    system.instances
      .filter((_, i) => listedIndexes.has(i))
      .map(({id, zone, internal, public: address}) => ({
        id,
        zone,
        region: 'r',
        internal,
        public: address,
        state: InstanceState.Live,
      }));
  const backends = await Promise.all(
    addresses.map(address => startBackend(address, options.handle)),
  );
  const start = async (i: number) => {
    const settings: LoadedSettings = {
      system,
      instance: INSTANCE_SETTINGS_SCHEMA.parse({
        system: '',
        id: ids[i],
        log: {level: 'error'},
        ...(options.traceFile === undefined
          ? {}
          : {traces: {exporter: 'json-lines', target: options.traceFile}}),
      }),
    };
    listedIndexes.add(i);
    running.set(
      i,
      await serve(settings, {
        connect: options.connect,
        createStore: timers =>
          new MemoryStore({timers, getInstances: () => listInstances()}),
      }),
    );
  };
  const stop = async (i: number) => {
    const instance = running.get(i);
    running.delete(i);
    await instance?.[Symbol.asyncDispose]();
    listedIndexes.delete(i);
  };
  const waitUntilReady = async (i: number) => {
    const {public: address} = system.instances[i]!;
    for (;;) {
      const {status} = await call(`http://${address}/readyz`);
      if (status === 200) return;
      await sleep(20);
    }
  };
  for (const i of range(instances)) await start(i);
  await Promise.all(range(instances).map(waitUntilReady));
  return {
    backends,
    async start(i) {
      await start(i);
      await waitUntilReady(i);
    },
    stop,
    getUrl: i =>
      `http://${addressPrefix}.${i + 1}:${getTestPort(0)}/v1/requests/t/s`,
    async getKeyPrefix(i) {
      const url = `http://${addressPrefix}.${i + 1}:${getTestPort(0)}/v1/lookup?team=t&service=s`;
      const answer = JSON.parse((await call(url)).body) as {
        instances: {id: string; keyPrefix: string}[];
      };
      return answer.instances.find(({id}) => id === ids[i])!.keyPrefix;
    },
    async getMetric(i, name) {
      const {body} = await call(
        `http://${addressPrefix}.${i + 1}:${getTestPort(2)}/metrics`,
      );
      return body
        .split('\n')
        .filter(
          line => line.startsWith(`${name}{`) || line.startsWith(`${name} `),
        )
        .reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
    },
    async stopAll() {
      for (const i of [...running.keys()]) await stop(i);
      for (const backend of backends) await backend.stop();
    },
  };
}

function range(length: number): number[] {
  return Array.from({length}, (_, i) => i);
}
