import {
  createGoodbyes,
  createHash64,
  createMembershipState,
  type Endpoint,
  getCandidateOrders,
  getLimit,
  type InstanceInfo,
  type MembershipAction,
  MembershipActionType,
  type MembershipConfig,
  type MembershipEvent,
  MembershipEventType,
  type MembershipMessage,
  type MembershipState,
  MemberStatus,
  reduceMembership,
} from '@primrosestage/steering';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

export const TIMING = {
  fenceAfterMs: 2_000,
  takeoverAfterMs: 6_000,
  joinAfterMs: 15_000,
  maxRequestMs: 30_000,
  listLagMs: 10_000,
};
export const HEARTBEAT_MS = 500;
export const SUSPICION_MS = 3_000;
const hash = await createHash64();

/** Runs one process of an instance. */
export interface SimulatedProcess {
  id: string;
  config: MembershipConfig;
  state: MembershipState;
  /** Rate of its clock relative to true time. */
  rate: number;
  pausedUntil: number;
  isEnded: boolean;
  /** Calls that wait for the end of a pause. */
  waiting: Array<() => void>;
}

/** Describes a cut between instances; `platform` is a name like an instance id. */
export interface Cut {
  from: string;
  to: string;
  fromMs: number;
  untilMs: number;
}

export interface SimulationOptions {
  seed: number;
  members: InstanceInfo[];
  endpoints: Endpoint[];
  /** Longest delay of a message in milliseconds. */
  maxDelayMs?: number;
  /** Lag of a read of the platform's list in milliseconds. */
  getListLagMs?: () => number;
  listEveryMs?: number;
}

interface Listing {
  info: InstanceInfo;
  fromMs: number;
  untilMs: number;
}

export const PLATFORM = 'platform';

export function createInstanceInfo(
  id: string,
  zone: string,
  region: string,
): InstanceInfo {
  const address = `${id}:1`;
  return {
    id,
    zone,
    region,
    publicAddress: address,
    internalAddress: address,
    adminAddress: address,
  };
}

export function createEndpoint(
  id: string,
  zone: string,
  region: string,
  slots: number,
): Endpoint {
  return {
    id,
    team: 't',
    service: 's',
    zone,
    region,
    address: `${id}:1`,
    slots,
    maxConnections: 100,
  };
}

/** Runs instances over a network with delays, cuts and pauses, on virtual time. */
export class Simulation {
  readonly processes = new Map<string, SimulatedProcess>();
  readonly cuts: Cut[] = [];
  readonly listings: Listing[] = [];
  readonly trace: string[] = [];
  /** Messages sent, by instance id. */
  readonly sent = new Map<string, number>();
  onStep: () => void = () => {};
  now = 0;
  private readonly queue: Array<{at: number; run: () => void}> = [];
  private readonly generator;
  private readonly orders = new Map<string, Map<string, readonly string[]>>();

  constructor(readonly options: SimulationOptions) {
    this.generator = xoroshiro128plus(options.seed);
  }

  random = (): number => (this.generator.next() >>> 0) / 2 ** 32;

  schedule(at: number, run: () => void): void {
    let low = 0;
    let high = this.queue.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.queue[middle]!.at > at) low = middle + 1;
      else high = middle;
    }
    this.queue.splice(low, 0, {at, run});
  }

  runUntil(endMs: number): void {
    for (;;) {
      const next = this.queue.at(-1);
      if (!next || next.at > endMs) break;
      this.queue.pop();
      this.now = Math.max(this.now, next.at);
      next.run();
      this.onStep();
    }
    this.now = endMs;
    this.onStep();
  }

  clock(process: SimulatedProcess): number {
    return 1_000_000 + this.now * process.rate;
  }

  /** Starts a process; one of the same id must have ended. */
  start(info: InstanceInfo, isInSettings = true): SimulatedProcess {
    const {members, endpoints} = this.options;
    const rate = 1 + (this.random() - 0.5) * 2e-4;
    const process: SimulatedProcess = {
      id: info.id,
      config: {
        self: info,
        members,
        endpoints: endpoints.filter(({region}) => region === info.region),
        ownership: {
          selfId: info.id,
          incarnation: Math.round(this.now) + 1,
          digest: 'same',
          peers: members
            .filter(m => m.region === info.region && m.id !== info.id)
            .map(({id}) => id),
          isInSettings,
          timing: TIMING,
        },
        heartbeatMs: HEARTBEAT_MS,
        suspicionMs: SUSPICION_MS,
        getOrders: additions => this.getOrders(additions),
        getInFlight: () => [],
        random: this.random,
      },
      state: undefined as unknown as MembershipState,
      rate,
      pausedUntil: 0,
      isEnded: false,
      waiting: [],
    };
    process.state = createMembershipState(process.config, this.clock(process));
    this.processes.set(info.id, process);
    const listing = this.listings.find(
      l => l.info.id === info.id && l.untilMs > this.now,
    );
    if (listing) listing.untilMs = Infinity;
    else this.listings.push({info, fromMs: this.now, untilMs: Infinity});
    this.log(`${info.id} starts`);
    this.repeat(process, HEARTBEAT_MS / 2, () =>
      this.apply(process, {type: MembershipEventType.Tick}),
    );
    this.repeat(process, this.options.listEveryMs ?? 2_000, () =>
      this.readList(process),
    );
    return process;
  }

  /** Ends a process; its entry leaves the platform's list later. */
  end(process: SimulatedProcess, removedAfterMs: number): void {
    if (process.isEnded) return;
    process.isEnded = true;
    this.log(`${process.id} ends`);
    const listing = this.listings.find(
      l => l.info.id === process.id && l.untilMs === Infinity,
    );
    if (listing) listing.untilMs = this.now + removedAfterMs;
  }

  /** Stops a process as SIGTERM does: release, a goodbye to every peer, end. */
  stop(process: SimulatedProcess): void {
    if (process.isEnded) return;
    this.log(`${process.id} releases`);
    this.apply(process, {type: MembershipEventType.Release});
    this.schedule(this.now + 1_000, () => {
      if (process.isEnded) return;
      const now = this.clock(process);
      const {state, config} = process;
      for (const {target, message} of createGoodbyes(
        state,
        true,
        now,
        config,
      )) {
        this.send(process.id, target.id, receiver =>
          this.apply(receiver, {type: MembershipEventType.Received, message}),
        );
      }
      this.end(process, this.random() * 10_000);
    });
  }

  pause(process: SimulatedProcess, durationMs: number): void {
    this.log(`${process.id} pauses for ${durationMs} ms`);
    process.pausedUntil = Math.max(process.pausedUntil, this.now + durationMs);
    this.schedule(process.pausedUntil, () => {
      if (this.now < process.pausedUntil) return;
      for (const call of process.waiting.splice(0)) call();
    });
  }

  /** Handles an event when the process is not paused. */
  apply(process: SimulatedProcess, event: MembershipEvent): void {
    if (process.isEnded) return;
    if (this.now < process.pausedUntil) {
      process.waiting.push(() => this.apply(process, event));
      return;
    }
    const {state, actions} = reduceMembership(
      process.state,
      event,
      this.clock(process),
      process.config,
    );
    this.checkGone(process, state);
    process.state = state;
    for (const action of actions) this.act(process, action);
  }

  limit(process: SimulatedProcess, endpointId: string): number {
    if (process.isEnded) return 0;
    const now = this.clock(process);
    return getLimit(process.state, endpointId, now, process.config);
  }

  log(text: string): void {
    this.trace.push(`${Math.round(this.now)} ${text}`);
  }

  private getOrders(additions: readonly InstanceInfo[]) {
    const key = additions.map(({id}) => id).join();
    const {members, endpoints} = this.options;
    let orders = this.orders.get(key);
    if (!orders) {
      orders = getCandidateOrders({endpoints, members, additions, hash});
      this.orders.set(key, orders);
    }
    return orders;
  }

  private repeat(process: SimulatedProcess, everyMs: number, fn: () => void) {
    const run = () => {
      if (process.isEnded) return;
      if (this.now < process.pausedUntil) {
        this.schedule(process.pausedUntil + this.random() * 5, run);
        return;
      }
      fn();
      this.schedule(this.now + everyMs, run);
    };
    this.schedule(this.now + this.random() * everyMs, run);
  }

  private act(process: SimulatedProcess, action: MembershipAction): void {
    if (action.type === MembershipActionType.Acknowledge) return;
    this.sent.set(process.id, (this.sent.get(process.id) ?? 0) + 1);
    if (action.type === MembershipActionType.Ping) {
      const {pingId, sentAt, sentPhase, message, target} = action;
      this.exchange(process, target.id, message, answer =>
        this.apply(process, {
          type: MembershipEventType.Acknowledged,
          pingId,
          sentAt,
          sentPhase,
          message: answer,
        }),
      );
      return;
    }
    const {pingId, via, target} = action;
    this.send(process.id, via.id, relay =>
      this.send(relay.id, target.id, () =>
        this.send(target.id, relay.id, () =>
          this.send(relay.id, process.id, () =>
            this.apply(process, {
              type: MembershipEventType.IndirectlyAcknowledged,
              pingId,
            }),
          ),
        ),
      ),
    );
  }

  private exchange(
    process: SimulatedProcess,
    targetId: string,
    message: MembershipMessage,
    done: (answer: MembershipMessage) => void,
  ): void {
    this.send(process.id, targetId, receiver => {
      const {state, actions} = reduceMembership(
        receiver.state,
        {type: MembershipEventType.Received, message},
        this.clock(receiver),
        receiver.config,
      );
      this.checkGone(receiver, state);
      receiver.state = state;
      for (const action of actions) {
        if (action.type !== MembershipActionType.Acknowledge) continue;
        this.send(receiver.id, process.id, () => done(action.message));
      }
    });
  }

  /** Delivers a call unless a cut or an end prevents it; a paused receiver handles it later. */
  private send(
    from: string,
    to: string,
    deliver: (receiver: SimulatedProcess) => void,
  ): void {
    if (this.isCut(from, to)) return;
    const receiver = this.processes.get(to);
    const maxDelayMs = this.options.maxDelayMs ?? 60;
    const delayMs = 1 + this.random() * maxDelayMs;
    this.schedule(this.now + delayMs, () => {
      if (!receiver || receiver.isEnded || this.isCut(from, to)) return;
      if (this.now < receiver.pausedUntil) {
        receiver.waiting.push(() => deliver(receiver));
      } else {
        deliver(receiver);
      }
    });
  }

  private isCut(from: string, to: string): boolean {
    return this.cuts.some(
      cut =>
        cut.from === from &&
        cut.to === to &&
        this.now >= cut.fromMs &&
        this.now < cut.untilMs,
    );
  }

  private readList(process: SimulatedProcess): void {
    if (this.isCut(process.id, PLATFORM)) return;
    const requestedAt = this.clock(process);
    const lagMs = this.options.getListLagMs?.() ?? this.random() * 9_900;
    const at = this.now - lagMs;
    const instances = this.listings
      .filter(l => l.fromMs <= Math.max(at, 0) && at < l.untilMs)
      .map(l => l.info);
    this.schedule(this.now + 5, () =>
      this.apply(process, {
        type: MembershipEventType.ListRead,
        requestedAt,
        instances,
      }),
    );
  }

  /** A false `gone` is a `gone` of the incarnation of a process that has not ended. */
  private checkGone(observer: SimulatedProcess, state: MembershipState): void {
    for (const [id, member] of state.members) {
      const process = this.processes.get(id);
      if (!process || process.isEnded) continue;
      const {incarnation} = process.config.ownership;
      const contact = state.ownership.contacts.get(id);
      const isGone =
        (member.status === MemberStatus.Gone &&
          member.incarnation === incarnation) ||
        (contact?.isGone && contact.incarnation === incarnation);
      if (isGone) {
        throw new RangeError(
          `${Math.round(this.now)}: ${observer.id} takes ${id} for gone\n` +
            this.trace.slice(-40).join('\n'),
        );
      }
    }
  }
}
