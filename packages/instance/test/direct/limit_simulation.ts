import {Registry} from 'prom-client';
import {
  ControlView,
  EndpointState,
  type EndpointEntry,
  type MemberInfo,
  MemberTable,
  pickRandom,
  type SharedLimit,
} from '@primrosestage/steering';
import {SimClock} from '../../../testing/src/bench/policy/sim_clock.js';
import {createRandom} from '../../../testing/src/bench/create_random.js';
import type {StatedLimit} from '../../../testing/src/limits/index.js';
import {
  createLimitControl,
  type LimitControl,
} from '../../src/direct/limits/create_limit_control.js';
import {createDirectMetrics} from '../../src/direct/direct_metrics.js';
import {PermitResult} from '../../src/direct/limits/rate_permits.js';

const ROUND_MS = 400;
const SWEEP_MS = 250;
/** Instances that receive a message in each round. */
const FANOUT = 2;
/** Time for which a started instance assumes that it has not discovered all others yet. */
const DISCOVERY_TIMEOUT_MS = 30_000;
/** Time from SIGTERM to the end of a process, in milliseconds. */
const PLANNED_STOP_MS = 500;
/** Time after a restart or cut for which the requests of an instance do not count. */
const RECOVERY_MS = 4_000;
/** Time from the start of a process until it serves callers, in milliseconds. */
const START_MS = 300;
const MAX_SHARED_LIMITS = 16;
/** One-way latencies in milliseconds. */
const REGION_MS = 1.5;
const OTHER_REGIONS_MS = 55;
/** Time for which a request waits for a permit of a near coordinator, in milliseconds. */
const NEAR_WAIT_MS = 5;
const WORK_MS = 100;
const REGIONS = ['north', 'south', 'west'];
const ENDPOINT: EndpointEntry = {
  id: 'e1',
  service: 'pages',
  address: '127.0.0.1:1',
  zone: 'north-a',
  slots: 100,
  state: EndpointState.Ready,
  coldLeftMs: 0,
  bornAt: 1,
};

/** Options of a simulation. */
export interface LimitSimulationOptions {
  seed: number;
  instances: number;
  /** Requests per second for the endpoint, from all instances together. */
  demandPerSecond: number;
  /** Fraction of the datagrams that are lost. */
  loss: number;
}

/** A request that arrived at the endpoint. */
export interface Arrival {
  /** Time in milliseconds. */
  at: number;
  instance: string;
}

/** Restart or cut of an instance, with the time in which it recovers. */
interface FaultPeriod {
  instance: string;
  /** Times in milliseconds. */
  from: number;
  to: number;
}

interface SimProcess {
  id: string;
  region: string;
  bornAt: number;
  isAlive: boolean;
  /** Set of instances that hear each other; others are cut off from it. */
  group: number;
  heartbeat: number;
  version: number;
  isServing: boolean;
  servingSince: number;
  members: MemberTable;
  view: ControlView;
  limitControl: LimitControl;
}

/**
 * Simulates instances that send requests to one limited endpoint, on virtual time. Datagrams are
 * delayed and lost; instances restart, join, stop and are cut off from each other, but all of them
 * reach the endpoint.
 */
export class LimitSimulation {
  readonly clock = new SimClock();
  /** Requests that arrived at the endpoint. */
  readonly arrivals: Arrival[] = [];
  /** Limits that the endpoint stated. */
  readonly limits: StatedLimit[] = [];
  readonly random: () => number;
  private readonly processes = new Map<string, SimProcess>();
  private readonly faultPeriods: FaultPeriod[] = [];
  private startCount = 0;

  constructor(private readonly options: LimitSimulationOptions) {
    this.random = createRandom(options.seed);
    for (let i = 0; i < options.instances; i++) this.start(`instance-${i}`);
    this.scheduleDemand();
  }

  /** Ids of the instances that have been started. */
  get ids(): string[] {
    return [...this.processes.keys()];
  }

  /** Times of the requests of instances that were neither restarted nor cut off just before. */
  get soundArrivals(): number[] {
    return this.arrivals
      .filter(
        ({at, instance}) =>
          !this.faultPeriods.some(
            period =>
              period.instance === instance &&
              at >= period.from &&
              at < period.to,
          ),
      )
      .map(({at}) => at);
  }

  /** States a limit from now on, or none. */
  stateLimit(perSecond: number | undefined): void {
    const now = this.clock.now();
    const last = this.limits.at(-1);
    if (last?.to === Infinity) last.to = now;
    if (perSecond === undefined) return;
    this.limits.push({perSecond, from: now, to: Infinity});
  }

  /** Adds an instance, which knows no other one but is told of all by the first that it hears. */
  join(): void {
    this.start(`instance-${this.processes.size}`);
  }

  /** Ends the process of an instance, with a notice if it is planned, and starts it again. */
  restart(id: string, downMs: number, isPlanned: boolean): void {
    const process = this.processes.get(id);
    if (!process?.isAlive) return;
    this.recordFault(id, downMs + (isPlanned ? PLANNED_STOP_MS : 0));
    if (isPlanned) {
      process.isServing = false;
      process.version++;
      for (const other of this.processes.values()) this.gossip(process, other);
    }
    this.clock.after(isPlanned ? PLANNED_STOP_MS : 0, () => {
      process.isAlive = false;
      this.clock.after(downMs, () => this.start(id));
    });
  }

  /** Cuts instances off from the others, for a time in milliseconds. */
  cut(ids: readonly string[], durationMs: number): void {
    const group = this.clock.now();
    const setGroup = (value: number) => {
      for (const id of ids) {
        const process = this.processes.get(id);
        if (process) process.group = value;
      }
    };
    setGroup(group);
    for (const id of ids) this.recordFault(id, durationMs);
    this.clock.after(durationMs, () => setGroup(0));
  }

  private recordFault(instance: string, durationMs: number): void {
    const from = this.clock.now();
    const to = from + durationMs + RECOVERY_MS;
    this.faultPeriods.push({instance, from, to});
  }

  private start(id: string): void {
    const previous = this.processes.get(id);
    const index = previous ? this.ids.indexOf(id) : this.processes.size;
    const region = REGIONS[index % REGIONS.length] as string;
    const process = this.createProcess(id, region, previous?.group ?? 0);
    this.processes.set(id, process);
    const {clock} = this;
    this.pullFromAny(process);
    clock.after(START_MS, () => {
      process.isServing = true;
      process.servingSince = clock.now();
      process.version++;
    });
    const rounds = clock.every(ROUND_MS, () => {
      if (!process.isAlive) return rounds[Symbol.dispose]();
      this.runRound(process);
    });
    const sweeps = clock.every(SWEEP_MS, () => {
      if (!process.isAlive) return sweeps[Symbol.dispose]();
      process.members.expire(clock.now());
      process.limitControl.permits.prune();
    });
  }

  private createProcess(id: string, region: string, group: number): SimProcess {
    const {clock} = this;
    const zone = `${region}-a`;
    const self = (): MemberInfo => ({
      id,
      zone,
      region,
      controlAddress: id,
      gossipAddress: id,
      callerAddress: id,
      bornAt: process.bornAt,
      version: process.version,
      isServing: process.isServing,
      isFollowing: false,
      openRequests: {},
      heartbeat: process.heartbeat,
    });
    const members = new MemberTable(self);
    members.markMembershipUnknown(clock.now() + DISCOVERY_TIMEOUT_MS);
    const view = createView();
    const regionsByZone = new Map(REGIONS.map(name => [`${name}-a`, name]));
    const limitControl: LimitControl = createLimitControl({
      settings: {
        id,
        zone,
        region,
        regionsByZone,
        callerAddress: id,
        readinessAddress: id,
        directoryAddress: id,
        controlAddress: id,
        gossipAddress: id,
        seedAddresses: [],
        isSystemStart: false,
        bounds: {
          repeatRatio: 0,
          repeatSlack: 0,
          repeatWindowMs: 1,
          coldFactor: 1,
          coldSlack: 0,
          maxShift: 1,
          drainMs: 1,
          stopTimeoutMs: 1,
          maxDirectoryTtlMs: 1,
        },
      },
      view,
      members,
      timers: clock,
      logger: {info: () => {}, warn: () => {}, error: () => {}},
      metrics: createDirectMetrics(new Registry()),
      getServingSince: () => process.servingSince,
      send: (message, address) =>
        this.deliver(process, this.processes.get(address), target =>
          target.limitControl.receive(message),
        ),
      announce: () => {
        for (const other of this.processes.values()) {
          this.gossip(process, other);
        }
      },
    });
    const process: SimProcess = {
      id,
      region,
      bornAt: ++this.startCount,
      isAlive: true,
      group,
      heartbeat: this.startCount * 100_000,
      version: 1,
      isServing: false,
      servingSince: Infinity,
      members,
      view,
      limitControl,
    };
    return process;
  }

  /** Exchanges state with an instance that may be cut off, as a start from a seed does. */
  private pullFromAny(process: SimProcess): void {
    const others = [...this.processes.values()].filter(
      other => other !== process && other.isAlive,
    );
    for (const other of pickRandom(others, 1, this.random)) {
      this.gossip(process, other);
      this.gossip(other, process);
    }
  }

  private runRound(process: SimProcess): void {
    process.heartbeat++;
    const others = [...this.processes.values()].filter(p => p !== process);
    for (const other of pickRandom(others, FANOUT, this.random)) {
      this.gossip(process, other);
    }
  }

  private gossip(from: SimProcess, to: SimProcess): void {
    const now = this.clock.now();
    const infos = from.members.getLive(now);
    const {limits} = from.limitControl;
    const shared: SharedLimit[] = limits.selectShared(MAX_SHARED_LIMITS, now);
    this.deliver(from, to, target => {
      target.members.merge(infos, this.clock.now());
      target.members.markMembershipKnown();
      target.limitControl.tracker.merge(shared);
    });
  }

  private deliver(
    from: SimProcess,
    to: SimProcess | undefined,
    receive: (target: SimProcess) => void,
  ): void {
    if (!to || to === from || this.random() < this.options.loss) return;
    const latencyMs = from.region === to.region ? REGION_MS : OTHER_REGIONS_MS;
    this.clock.after(latencyMs * (1 + this.random()), () => {
      if (to.isAlive && from.group === to.group) receive(to);
    });
  }

  private scheduleDemand(): void {
    const perMs = this.options.demandPerSecond / 1_000;
    const next = () => {
      this.clock.after(-Math.log(1 - this.random()) / perMs, () => {
        const processes = [...this.processes.values()];
        const [process] = pickRandom(processes, 1, this.random);
        if (process?.isAlive && process.isServing) this.trySend(process);
        next();
      });
    };
    next();
  }

  private trySend(process: SimProcess, isRetry = false): void {
    const endpoint = process.view.endpointTable.get(ENDPOINT.id);
    if (!endpoint) return;
    const {permits, tracker} = process.limitControl;
    if (permits.isBlocked(endpoint)) return;
    const result = permits.tryTake(endpoint);
    if (result === PermitResult.Denied) return;
    if (result === PermitResult.Requested) {
      if (isRetry || !permits.isCoordinatorNear(endpoint)) return;
      this.clock.after(NEAR_WAIT_MS, () => this.trySend(process, true));
      return;
    }
    const startedAt = this.clock.now();
    const latencyMs = process.region === 'north' ? REGION_MS : OTHER_REGIONS_MS;
    this.clock.after(latencyMs, () => {
      this.arrivals.push({at: this.clock.now(), instance: process.id});
      this.clock.after(WORK_MS, () => {
        const last = this.limits.at(-1);
        const limit =
          last?.to === Infinity ? String(last.perSecond) : undefined;
        this.clock.after(latencyMs, () => {
          if (!process.isAlive) return;
          tracker.observeResponse(endpoint, {
            limit,
            isSuccess: true,
            startedAt,
            respondedAt: this.clock.now(),
          });
        });
      });
    });
  }
}

function createView(): ControlView {
  const view = new ControlView(1);
  view.apply(
    {
      revision: 1,
      isFull: true,
      endpoints: [
        {id: ENDPOINT.id, revision: 1, entry: ENDPOINT, isRemoved: false},
      ],
      evacuations: [],
    },
    0,
  );
  return view;
}
