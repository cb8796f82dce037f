import type {ConnectFunction} from '@primrosestage/common';
import {
  INSTANCE_SETTINGS_SCHEMA,
  type LoadedSettings,
  SYSTEM_SETTINGS_SCHEMA,
} from '@primrosestage/control';
import {serve} from '@primrosestage/instance';
import {
  type BackendHandler,
  startBackend,
  type TestBackend,
} from './start_backend.js';
import {call} from './call.js';

/** Configures a system of one region and zone. */
export interface SystemOptions {
  /** Third byte of all addresses; each test file has its own. */
  subnet: number;
  instances?: number;
  endpoints?: number;
  slots?: number;
  timing?: Record<string, number>;
  preset?: Record<string, unknown>;
  handle?: BackendHandler;
  connect?: ConnectFunction;
  /** File for the spans of all instances. */
  traceFile?: string;
}

/** Holds a running system. */
export interface TestSystem {
  readonly backends: TestBackend[];
  /** URL of the service at an instance, from 0. */
  getUrl(instance: number): string;
  /** Starts an instance again after `stop`. */
  start(instance: number): Promise<void>;
  stop(instance: number): Promise<void>;
  /** Prefix of the keys whose home is an instance. */
  getKeyPrefix(instance: number): Promise<string>;
  /** Sum of a metric over its labels. */
  getMetric(instance: number, name: string): Promise<number>;
  stopAll(): Promise<void>;
}

/** Starts instances and backend stand-ins in this process. */
export async function startSystem(options: SystemOptions): Promise<TestSystem> {
  const net = `127.40.${options.subnet}`;
  const {instances = 1, endpoints = 1} = options;
  const addresses = range(endpoints).map(i => `${net}.${100 + i}:8080`);
  const ids = range(instances).map(i => `r-a-${i}`);
  const system = SYSTEM_SETTINGS_SCHEMA.parse({
    regions: ['r'],
    zones: [{name: 'r-a', region: 'r'}],
    links: [],
    store: {address: `${net}.250:7900`, region: 'r'},
    instances: ids.map((id, i) => ({
      id,
      zone: 'r-a',
      public: `${net}.${i + 1}:7000`,
      internal: `${net}.${i + 1}:7001`,
      admin: `${net}.${i + 1}:7002`,
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
    running.set(i, await serve(settings, {connect: options.connect}));
  };
  const stop = async (i: number) => {
    const instance = running.get(i);
    running.delete(i);
    await instance?.[Symbol.asyncDispose]();
  };
  for (const i of range(instances)) await start(i);
  return {
    backends,
    start,
    stop,
    getUrl: i => `http://${net}.${i + 1}:7000/v1/requests/t/s`,
    async getKeyPrefix(i) {
      const url = `http://${net}.${i + 1}:7000/v1/lookup?team=t&service=s`;
      const answer = JSON.parse((await call(url)).body) as {
        instances: {id: string; keyPrefix: string}[];
      };
      return answer.instances.find(({id}) => id === ids[i])!.keyPrefix;
    },
    async getMetric(i, name) {
      const {body} = await call(`http://${net}.${i + 1}:7002/metrics`);
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
