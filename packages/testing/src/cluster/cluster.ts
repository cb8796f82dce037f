import {readdirSync} from 'node:fs';
import {createRequire} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Step, StepError} from '@primrosestage/common';
import {
  buildTopology,
  InstanceState,
  type ListedInstance,
  loadSettings,
  type SystemSettings,
} from '@primrosestage/control';
import type {InstanceInfo, Topology} from '@primrosestage/steering';
import type {PartitionKind} from '../faults/index.js';
import {fetchText} from '../http/index.js';
import type {AttemptRecord, RunRecord} from '../history/records.js';
import {Child} from '../process/index.js';
import {listInstances} from '../store/index.js';

const ROLE_MAIN = fileURLToPath(new URL('../role_main.js', import.meta.url));
const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const READY_TIMEOUT_MS = 40_000;
/** Time after which a graceful shutdown is killed; the settings allow 60 s. */
const STOP_TIMEOUT_MS = 62_000;

/** Configures a cluster. */
export interface ClusterOptions {
  /** Directory under `examples`. */
  system: string;
  seed: number;
  logDir: string;
  /** Runs the published binary instead of the instance role, which can inject connection faults. */
  usesBinary: boolean;
  onRecord: (record: AttemptRecord | RunRecord) => void;
}

/** Runs the processes of an example system and ends them on disposal. */
export class Cluster implements AsyncDisposable {
  readonly directory: string;
  readonly settings: SystemSettings;
  readonly topology: Topology;
  readonly store: Child;
  readonly backend: Child;
  readonly callers: Child;
  private readonly instances = new Map<string, Child>();
  private readonly partitions = new Map<
    string,
    Record<string, PartitionKind>
  >();
  private readonly children: Child[] = [];
  private listedInstances: ListedInstance[];

  constructor(private readonly options: ClusterOptions) {
    this.directory = path.join(ROOT, 'examples', options.system);
    const [file = ''] = readdirSync(this.directory).filter(
      name => name.endsWith('.toml') && name !== 'system.toml',
    );
    const settingsFile = path.join(this.directory, file);
    this.settings = loadSettings(settingsFile).system;
    this.topology = buildTopology(this.settings);
    this.listedInstances = listInstances(this.settings);
    process.setMaxListeners(100);
    const startRole = (role: string) =>
      this.start(role, [ROLE_MAIN, role, settingsFile, String(options.seed)]);
    this.store = startRole('store');
    this.backend = startRole('backend');
    this.callers = startRole('callers');
  }

  /** Starts all instances and waits until they are ready. */
  async startInstances(): Promise<void> {
    for (const {id} of this.topology.instances) this.startInstance(id);
    await Promise.all(this.topology.instances.map(i => this.waitReady(i)));
  }

  /** Starts an instance, without waiting until it is ready. */
  startInstance(id: string): Child {
    const file = path.join(this.directory, `${id}.toml`);
    const binary = createRequire(import.meta.url).resolve(
      '@primrosestage/instance',
    );
    const args = this.options.usesBinary
      ? [
          path.join(binary, '../../bin/primrosestage.js'),
          'serve',
          '--settings',
          file,
        ]
      : [ROLE_MAIN, 'instance', file];
    const child = this.start(id, args, !this.options.usesBinary);
    this.instances.set(id, child);
    if (!this.options.usesBinary) {
      this.callInstance(id, 'setPartitions', this.partitions.get(id) ?? {});
    }
    if (!this.listedInstances.some(listed => listed.id === id)) {
      const info = listInstances(this.settings).filter(i => i.id === id);
      void this.setListedInstances([...this.listedInstances, ...info]);
    }
    return child;
  }

  /** Replaces the hosts that an instance is partitioned from; still applies after a restart. */
  setPartitions(id: string, partitions: Record<string, PartitionKind>): void {
    this.partitions.set(id, partitions);
    this.callInstance(id, 'setPartitions', partitions);
  }

  /**
   * Sends a command to an instance without waiting for the reply, which may come late or never if
   * the instance is down or paused.
   */
  callInstance(id: string, command: string, ...args: unknown[]): void {
    this.getInstance(id)
      .call(command, ...args)
      .catch(() => {});
  }

  /** Gets the process of an instance. */
  getInstance(id: string): Child {
    return this.instances.get(id) as Child;
  }

  /**
   * Stops an instance gracefully; the platform lists it as leaving and removes it after its exit.
   * @returns Exit code and time that the shutdown took, in milliseconds.
   */
  async stopInstance(
    id: string,
  ): Promise<{code: number | string; tookMs: number}> {
    const startMs = Date.now();
    await this.setListedInstances(
      this.listedInstances.map(listed =>
        listed.id === id ? {...listed, state: InstanceState.Leaving} : listed,
      ),
    );
    const child = this.getInstance(id);
    child.signal('SIGTERM');
    const limit = AbortSignal.timeout(STOP_TIMEOUT_MS);
    limit.addEventListener('abort', () => child.signal('SIGKILL'));
    const code = await child.exited;
    await this.setListedInstances(
      this.listedInstances.filter(listed => listed.id !== id),
    );
    return {code, tookMs: Date.now() - startMs};
  }

  /** Kills an instance; the platform removes it from its list after the exit. */
  async killInstance(id: string): Promise<void> {
    await this.getInstance(id)[Symbol.asyncDispose]();
    await this.setListedInstances(
      this.listedInstances.filter(listed => listed.id !== id),
    );
  }

  /**
   * Waits until `/readyz` of an instance answers 200.
   * @throws StepError if it does not within 40 s or the process exits.
   */
  async waitReady({id, publicAddress}: InstanceInfo): Promise<void> {
    const endMs = Date.now() + READY_TIMEOUT_MS;
    while (this.getInstance(id).isRunning && Date.now() < endMs) {
      const answer = await fetchText(`http://${publicAddress}/readyz`);
      if (answer?.status === 200) return;
      await sleep(100);
    }
    throw new StepError(
      {step: Step.Membership, peer: id},
      `${id} was not ready after ${READY_TIMEOUT_MS} ms, see its log in ${this.options.logDir}`,
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.children.map(c => c[Symbol.asyncDispose]()));
  }

  private start(name: string, args: string[], hasCommands = true): Child {
    const child = new Child({
      name,
      args,
      hasCommands,
      logDir: this.options.logDir,
      onRecords: records => records.forEach(this.options.onRecord),
    });
    this.children.push(child);
    return child;
  }

  private async setListedInstances(listed: ListedInstance[]): Promise<void> {
    this.listedInstances = listed;
    await this.store.call('setInstances', listed);
  }
}
