import {
  createLogger,
  InvariantMonitor,
  Step,
  StepError,
  VirtualTimerService,
} from '@primrosestage/common';
import {
  CommitOutcome,
  type CommitResult,
  type DocumentChange,
  MemoryStore,
  type TeamDocument,
} from '@primrosestage/control';
import {createHash64} from '@primrosestage/steering';
import {Registry} from 'prom-client';
import {
  Fault,
  FaultyStore,
} from '../../../control/test/support/faulty_store.js';
import {
  SYSTEM,
  TEAM,
  TOPOLOGY,
} from '../../../control/test/support/fixtures.js';
import {
  type ConfigurationPeers,
  ConfigurationTask,
} from '../../src/configuration/index.js';

const PEER_LATENCY_MS = 12;
const PEER_TIMEOUT_MS = 800;
const hash = await createHash64();
const logger = createLogger({level: 'error', fields: {}});

/** A simulated instance. */
export interface SimulatedInstance {
  id: string;
  task: ConfigurationTask;
  store: FaultyStore;
  monitor: InvariantMonitor;
  isKilled: boolean;
}

/** Simulates the configuration tasks of the Tesfaye example in virtual time. */
export class Cluster {
  readonly timers = new VirtualTimerService();
  readonly backingStore = new MemoryStore({timers: this.timers});
  readonly members = new Map<string, SimulatedInstance>();
  readonly partitionedZones = new Set<string>();
  /** Number of calls between instances by kind. */
  readonly peerCalls = {push: 0, pull: 0};
  violationCount = 0;
  revertCount = 0;
  private randomCounter = 0;

  constructor(private readonly decide: () => Fault = () => Fault.None) {}

  get ids(): string[] {
    return TOPOLOGY.instances.map(({id}) => id);
  }

  /** Starts an instance; if it is running, its previous incarnation is killed first. */
  start(id: string): SimulatedInstance {
    const previous = this.members.get(id);
    if (previous) this.kill(previous);
    const store = new FaultyStore({
      timers: this.timers,
      inner: this.backingStore,
      decide: this.decide,
    });
    const monitor = new InvariantMonitor(logger, new Registry());
    const task = new ConfigurationTask({
      self: TOPOLOGY.getInstanceOrThrow(id),
      topology: TOPOLOGY,
      teams: SYSTEM.teams,
      store,
      peers: this.createPeers(id),
      timers: this.timers,
      hash,
      monitor,
      logger,
      getLiveInstances: () => TOPOLOGY.instances,
      randomInt: bound => (this.randomCounter += 7) % bound,
    });
    const member = {id, task, store, monitor, isKilled: false};
    this.members.set(id, member);
    void task.start();
    return member;
  }

  startAll(): void {
    for (const id of this.ids) this.start(id);
  }

  setStoreDown(isDown: boolean): void {
    for (const {store} of this.members.values()) store.isDown = isDown;
  }

  /** Partitions a zone from other zones and from the store. */
  partition(zone: string): void {
    this.partitionedZones.add(zone);
    for (const {id, store} of this.members.values()) {
      if (this.isSeparated(id)) store.isDown = true;
    }
  }

  /** Ends partitions and outages. */
  heal(): void {
    this.partitionedZones.clear();
    this.setStoreDown(false);
  }

  /** Advances time and counts, every 50 ms, instances that return to a lower revision. */
  async run(durationMs: number): Promise<void> {
    for (let leftMs = durationMs; leftMs > 0; leftMs -= 50) {
      const before = [...this.members.values()].map(
        m => [m, getRevision(m)] as const,
      );
      await this.timers.advanceAsync(50);
      for (const [member, revision] of before) {
        if (getRevision(member) < revision) this.revertCount++;
      }
    }
  }

  getRevisions(): number[] {
    return [...this.members.values()].map(getRevision);
  }

  async readDocument(): Promise<TeamDocument> {
    return (await this.backingStore.get(`teams/${TEAM}`))!
      .value as TeamDocument;
  }

  /** Commits at an instance; the result is unknown if the instance is killed meanwhile. */
  async commit(id: string, change: DocumentChange): Promise<CommitResult> {
    const member = this.members.get(id)!;
    const unknownResult: CommitResult = {
      outcome: CommitOutcome.Unknown,
      issues: [],
      message: '',
    };
    const timeout = this.timers.sleep(10_000).then(() => unknownResult);
    const result = await Promise.race([
      member.task.commit(TEAM, change),
      timeout,
    ]);
    return member.isKilled ? unknownResult : result;
  }

  async dispose(): Promise<void> {
    for (const member of this.members.values()) this.kill(member);
    await this.timers.advanceAsync(5_000, 100);
  }

  private kill(member: SimulatedInstance): void {
    member.isKilled = true;
    this.violationCount += member.monitor.violationCount;
    void member.task[Symbol.asyncDispose]();
    // A write already sent may still take effect; the killed instance sends no more.
    member.store.isSilent = true;
  }

  private createPeers(from: string): ConfigurationPeers {
    const call = async <T>(
      to: string,
      run: (member: SimulatedInstance) => T,
    ): Promise<T> => {
      const member = this.members.get(to);
      const isPartitioned = this.isSeparated(from) !== this.isSeparated(to);
      await this.timers.sleep(
        isPartitioned ? PEER_TIMEOUT_MS : PEER_LATENCY_MS,
      );
      if (isPartitioned || !member || member.isKilled) {
        throw new StepError(
          {step: Step.Propagation, peer: to},
          `no response from ${to}`,
        );
      }
      const result = run(member);
      await this.timers.sleep(PEER_LATENCY_MS);
      return result;
    };
    return {
      push: (to, message) => {
        this.peerCalls.push++;
        return call(to, ({task}) => task.handlePush(message));
      },
      pull: (to, message) => {
        this.peerCalls.pull++;
        return call(to, ({task}) => task.handlePull(message));
      },
    };
  }

  private isSeparated(id: string): boolean {
    return this.partitionedZones.has(TOPOLOGY.getInstanceOrThrow(id).zone);
  }
}

function getRevision({task}: SimulatedInstance): number {
  return task.getStatus(TEAM)?.revision ?? 0;
}
