import {randomInt} from 'node:crypto';
import type http from 'node:http';
import type {
  ConnectFunction,
  InvariantMonitor,
  Logger,
  TimerService,
} from '@primrosestage/common';
import {
  HttpStore,
  type Store,
  type SystemSettings,
} from '@primrosestage/control';
import type {Hash64, InstanceInfo, Topology} from '@primrosestage/steering';
import type {Registry} from 'prom-client';
import {ConfigurationTask} from './configuration_task.js';
import {createRpcPeers} from './create_rpc_peers.js';
import {registerConfigurationMetrics} from './register_configuration_metrics.js';

/** Creates a store in place of the platform's. */
export type CreateStore = (timers: TimerService) => Store;

/** Configures the configuration of an instance. */
export interface StartConfigurationOptions {
  system: SystemSettings;
  self: InstanceInfo;
  topology: Topology;
  hash: Hash64;
  timers: TimerService;
  logger: Logger;
  registry: Registry;
  monitor: InvariantMonitor;
  connect: ConnectFunction;
  /** Pool for calls to other instances. */
  agent: http.Agent;
  /** Gets the live instances, this one included. */
  getLiveInstances: () => readonly InstanceInfo[];
  /** Creates the store; the platform's one where absent. */
  createStore?: CreateStore;
}

/** Holds the running configuration task and its store. */
export interface RunningConfiguration extends AsyncDisposable {
  configuration: ConfigurationTask;
  store: Store;
}

/**
 * Starts the configuration of an instance.
 * @param options - Settings and services of the instance.
 * @returns The task, after its first attempt to load the documents.
 */
export async function startConfiguration(
  options: StartConfigurationOptions,
): Promise<RunningConfiguration> {
  const {system, topology, timers, connect, agent, registry} = options;
  const client = options.createStore
    ? undefined
    : new HttpStore({...system.store, connect, timers});
  const store = client ?? options.createStore!(timers);
  const configuration = new ConfigurationTask({
    ...options,
    teams: system.teams,
    store,
    peers: createRpcPeers({topology, agent}),
    drawInt: bound => randomInt(bound),
  });
  registerConfigurationMetrics(configuration, system.teams, registry);
  await configuration.start();
  return {
    configuration,
    store,
    [Symbol.asyncDispose]: async () => {
      const stopped = configuration[Symbol.asyncDispose]();
      // Closing the connections ends a watch that the store still holds.
      await client?.[Symbol.asyncDispose]();
      await stopped;
    },
  };
}
