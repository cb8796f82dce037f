import {
  AccountTable,
  type ClientAccount,
  hash32,
  type MemberInfo,
  type QuotaTolerance,
} from '@primrosestage/steering';
import type {TimerService} from '@primrosestage/common';
import {createRandom} from '../../../testing/src/bench/create_random.js';
import {SimClock} from '../../../testing/src/bench/policy/sim_clock.js';
import {QuotaGate} from '../../src/direct/limits/quota_gate.js';
import type {QuotaMessage} from '../../src/direct/limits/quota_message.js';
import {QuotaEvent} from '../../src/direct/limits/quota_use.js';

const SWEEP_MS = 250;
/** Time after which an instance that cannot be heard is no longer considered live. */
const SUSPECT_MS = 3_000;
/** Longest time until an instance knows of one that has started. */
const MAX_NEWS_MS = 1_000;
/** Time from the start of a process until it knows the others. */
const DISCOVERY_MS = 400;
/** Variation of the latency between the admission of a request and its arrival. */
const ARRIVAL_JITTER_MS = 60;
const REGION_COUNT = 3;

/** Options of a simulation. */
export interface QuotaSimulationOptions {
  seed: number;
  instances: number;
  ratePerSecond: number;
  burst: number;
  tolerance: QuotaTolerance;
  /** Fraction of the datagrams that are lost. */
  loss: number;
  /** One-way latency between regions, varied by a fifth. */
  remoteMs: number;
  /** Returns the demand per second at an instance. */
  getDemand: (index: number, now: number) => number;
}

interface SimInstance {
  info: MemberInfo;
  gate: QuotaGate;
  /** Increases with each process. */
  process: number;
  isAlive: boolean;
  startedAt: number;
  /** Time since which the instance is as it is: alive or not, and in its group. */
  changedAt: number;
  group: number;
  frozenAt: number;
  frozenUntil: number;
  table: AccountTable;
}

/**
 * Simulates instances that share the quota of one account, on virtual time. Datagrams are delayed
 * and lost; instances are killed, restarted, frozen, cut off and added.
 */
export class QuotaSimulation {
  readonly clock = new SimClock();
  readonly random: () => number;
  /** Times at which requests arrived at an endpoint. */
  readonly arrivals: number[] = [];
  readonly counts = {granted: 0, waited: 0, denied: 0};
  readonly instances: SimInstance[] = [];
  datagrams = 0;
  bytes = 0;
  private readonly account: ClientAccount;

  constructor(private readonly options: QuotaSimulationOptions) {
    this.random = createRandom(options.seed);
    const {ratePerSecond, burst} = options;
    this.account = {
      name: 'mill',
      keys: [],
      homeRegions: [],
      ratePerSecond,
      burst,
    };
    for (let i = 0; i < options.instances; i++) this.join();
  }

  /** Adds an instance. */
  join(): void {
    const index = this.instances.length;
    this.instances.push(this.createInstance(index, 0));
    this.scheduleDemand(index);
  }

  /** Sets the rate limit at all instances. */
  setRate(ratePerSecond: number): void {
    this.account.ratePerSecond = ratePerSecond;
    for (const instance of this.instances) {
      instance.table = new AccountTable([{...this.account}]);
    }
  }

  /** Ends a process without notice and starts it again after some time, or never. */
  kill(index: number, downMs: number): void {
    const instance = this.instances[index] as SimInstance;
    if (!instance.isAlive) return;
    instance.isAlive = false;
    instance.changedAt = this.clock.now();
    if (downMs === Infinity) return;
    this.clock.after(downMs, () => {
      this.instances[index] = this.createInstance(index, instance.process + 1);
    });
  }

  /** Stops a process from running for some time. */
  freeze(index: number, durationMs: number): void {
    const instance = this.instances[index] as SimInstance;
    instance.frozenAt = this.clock.now();
    instance.frozenUntil = this.clock.now() + durationMs;
  }

  /** Cuts instances off from the others for some time. */
  cut(indexes: readonly number[], durationMs: number): void {
    const setGroup = (group: number) => {
      for (const index of indexes) {
        const instance = this.instances[index] as SimInstance;
        instance.group = group;
        instance.changedAt = this.clock.now();
      }
    };
    setGroup(1 + this.random());
    this.clock.after(durationMs, () => setGroup(0));
  }

  /** Returns the index of the coordinator by the view of an instance. */
  findCoordinator(index: number): number {
    const {gate} = this.instances[index] as SimInstance;
    const {coordinator} = gate['getOrigin'](this.account.name);
    return this.instances.findIndex(({info}) => info.id === coordinator);
  }

  /** Returns the highest number of arrivals in any window. */
  findMaxInWindow(): number {
    const times = [...this.arrivals].sort((a, b) => a - b);
    let max = 0;
    let from = 0;
    times.forEach((at, to) => {
      while (at - (times[from] as number) >= this.options.tolerance.windowMs) {
        from++;
      }
      max = Math.max(max, to - from + 1);
    });
    return max;
  }

  private createInstance(index: number, process: number): SimInstance {
    const {clock} = this;
    const id = `instance-${index}`;
    const now = clock.now();
    const isCurrent = () =>
      this.instances[index] === instance && instance.isAlive;
    const timers: Pick<TimerService, 'now' | 'after'> = {
      now: () => clock.now(),
      after: (ms, fn) => clock.after(ms, () => this.runAt(instance, fn)),
    };
    const gate = new QuotaGate({
      id,
      gossipAddress: id,
      view: {
        get accounts() {
          return instance.table;
        },
      },
      members: {
        version: 0,
        getServing: () => this.getSeen(instance).map(({info}) => info),
        getLimitDivisor: at =>
          at - instance.startedAt < DISCOVERY_MS
            ? Infinity
            : this.instances.filter(other => this.isKnown(instance, other))
                .length,
        getRankFor: () => index,
      },
      getTolerance: () => this.options.tolerance,
      timers,
      logger: {info: () => {}, warn: () => {}, error: () => {}},
      metrics: {
        quotas: {inc: ({result}: {result: QuotaEvent}) => this.count(result)},
      } as never,
      random: this.random,
      send: (message, address) => this.deliver(instance, address, message),
    });
    const instance: SimInstance = {
      info: {
        id,
        zone: 'a',
        region: String(index % REGION_COUNT),
        controlAddress: id,
        gossipAddress: id,
        callerAddress: id,
        bornAt: process,
        version: 1,
        isServing: true,
        isFollowing: false,
        openRequests: {},
        heartbeat: 1,
      },
      gate,
      process,
      isAlive: true,
      startedAt: now,
      changedAt: now,
      group: 0,
      frozenAt: -Infinity,
      frozenUntil: 0,
      table: new AccountTable([{...this.account}]),
    };
    const sweep = () => {
      if (!isCurrent()) return;
      this.runAt(instance, () => gate.sweep());
      clock.after(SWEEP_MS, sweep);
    };
    clock.after(this.random() * SWEEP_MS, sweep);
    return instance;
  }

  /** Runs what a process does, later if it is frozen and never if it has ended. */
  private runAt(instance: SimInstance, fn: () => void): void {
    if (!instance.isAlive) return;
    if (instance.frozenUntil > this.clock.now()) {
      this.clock.at(instance.frozenUntil, () => this.runAt(instance, fn));
    } else fn();
  }

  private getSeen(viewer: SimInstance): SimInstance[] {
    const now = this.clock.now();
    return this.instances.filter(other => {
      if (other === viewer) return true;
      if (!this.isKnown(viewer, other)) return false;
      const isHeard =
        other.isAlive &&
        other.group === viewer.group &&
        now >= other.frozenUntil;
      const since = Math.max(viewer.changedAt, other.changedAt, other.frozenAt);
      return isHeard || now - since < SUSPECT_MS;
    });
  }

  private isKnown(viewer: SimInstance, other: SimInstance): boolean {
    if (viewer === other) return true;
    const news = hash32(viewer.info.id + other.info.id) % MAX_NEWS_MS;
    return this.clock.now() >= news + (other.process > 0 ? 0 : other.startedAt);
  }

  private deliver(
    from: SimInstance,
    address: string,
    message: QuotaMessage,
  ): void {
    this.datagrams++;
    this.bytes += JSON.stringify(message).length;
    const {loss, remoteMs} = this.options;
    if (this.random() < loss) return;
    const find = () => this.instances.find(({info}) => info.id === address);
    const isNear = find()?.info.region === from.info.region;
    const latencyMs = (isNear ? 1.5 : remoteMs) * (0.9 + 0.2 * this.random());
    this.clock.after(latencyMs, () => {
      const to = find();
      if (!to || to.group !== from.group) return;
      this.runAt(to, () => to.gate.receive(message));
    });
  }

  private scheduleDemand(index: number): void {
    const next = () => {
      const now = this.clock.now();
      const perMs = this.options.getDemand(index, now) / 1_000;
      // Where there is little demand, it is read again soon, since it may rise.
      const delayMs = -Math.log(1 - this.random()) / perMs;
      const isRequest = delayMs < 200;
      this.clock.after(Math.min(200, delayMs), () => {
        const instance = this.instances[index] as SimInstance;
        if (isRequest) {
          this.runAt(instance, () => {
            const {table, gate} = instance;
            gate.acquire(table.getLimited(this.account.name));
          });
        }
        next();
      });
    };
    next();
  }

  private count(result: QuotaEvent): void {
    this.counts[result]++;
    if (result !== QuotaEvent.Granted) return;
    const delayMs = this.random() * ARRIVAL_JITTER_MS;
    this.arrivals.push(this.clock.now() + delayMs);
  }
}
