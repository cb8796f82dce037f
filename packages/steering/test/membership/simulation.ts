import {
  createGoodbyes,
  createHash64,
  createMembershipState,
  getCandidateOrders,
  getLimit,
  isListNeeded,
  type InstanceInfo,
  type MembershipAction,
  MembershipActionType,
  type MembershipEvent,
  MembershipEventType,
  type MembershipMessage,
  type MembershipState,
  MemberStatus,
  reduceMembership,
} from '@primrosestage/steering';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {
  type Cut,
  HEARTBEAT_MS,
  type Listing,
  PLATFORM,
  type SimulatedProcess,
  type SimulationOptions,
  type StartOptions,
  SUSPICION_MS,
  TIMING,
} from './simulation_fixtures.js';

export * from './simulation_fixtures.js';

const hash = await createHash64();

/** Simulates instances on virtual time, with network delays, network cuts and process pauses. */
export class Simulation {
  readonly processes = new Map<string, SimulatedProcess>();
  readonly cuts: Cut[] = [];
  readonly listings: Listing[] = [];
  readonly trace: string[] = [];
  /** Number of messages sent, by instance id. */
  readonly sentCounts = new Map<string, number>();
  onStep: () => void = () => {};
  now = 0;
  /** Number of reads of the platform's instance list by all instances. */
  listReadCount = 0;
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

  getLocalTime(process: SimulatedProcess): number {
    return 1_000_000 + this.now * process.clockRate;
  }

  /** Starts a process; an earlier process of the same id must have ended. */
  start(info: InstanceInfo, options: StartOptions = {}): SimulatedProcess {
    const {members, endpoints} = this.options;
    const clockRate = 1 + (this.random() - 0.5) * 2e-4;
    const process: SimulatedProcess = {
      id: info.id,
      config: {
        self: info,
        members,
        endpoints: new Map(
          endpoints
            .filter(({region}) => region === info.region)
            .map(e => [e.id, e]),
        ),
        ownership: {
          selfId: info.id,
          incarnation: options.incarnation ?? Math.round(this.now) + 1,
          digest: options.digest ?? 'same',
          peers: members
            .filter(m => m.region === info.region && m.id !== info.id)
            .map(({id}) => id),
          isInSettings: options.isInSettings ?? true,
          timing: TIMING,
        },
        heartbeatMs: HEARTBEAT_MS,
        suspicionMs: SUSPICION_MS,
        getOrders:
          options.getOrders ?? (additions => this.getOrders(additions)),
        getInFlight: () => process.inFlight,
        random: this.random,
      },
      state: undefined as unknown as MembershipState,
      clockRate,
      pausedUntil: 0,
      isEnded: false,
      inFlight: new Map(),
      isBusy: false,
      deferredCalls: [],
    };
    process.state = createMembershipState(
      process.config,
      this.getLocalTime(process),
    );
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

  /** Ends a process and removes its entry from the platform's list after a delay. */
  end(process: SimulatedProcess, removedAfterMs: number): void {
    if (process.isEnded) return;
    process.isEnded = true;
    this.log(`${process.id} ends`);
    const listing = this.listings.find(
      l => l.info.id === process.id && l.untilMs === Infinity,
    );
    if (listing) listing.untilMs = this.now + removedAfterMs;
  }

  /** Stops a process as SIGTERM does: it releases, sends a goodbye to every peer and ends. */
  stop(process: SimulatedProcess): void {
    if (process.isEnded) return;
    this.log(`${process.id} releases`);
    this.apply(process, {type: MembershipEventType.Release});
    this.scheduleGoodbyes(process);
  }

  private scheduleGoodbyes(process: SimulatedProcess): void {
    this.schedule(this.now + 1_000, () => {
      if (process.isEnded) return;
      if (process.isBusy) {
        this.scheduleGoodbyes(process);
        return;
      }
      const now = this.getLocalTime(process);
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
      for (const call of process.deferredCalls.splice(0)) call();
    });
  }

  /** Applies an event, after the end of the pause if the process is paused. */
  apply(process: SimulatedProcess, event: MembershipEvent): void {
    if (process.isEnded) return;
    if (this.now < process.pausedUntil) {
      process.deferredCalls.push(() => this.apply(process, event));
      return;
    }
    const {state, actions} = reduceMembership(
      process.state,
      event,
      this.getLocalTime(process),
      process.config,
    );
    this.checkNoneFalselyGone(process, state);
    process.state = state;
    for (const action of actions) this.runAction(process, action);
  }

  /** Cuts the network between two instances, or an instance and the platform, both ways. */
  cutBothWays(a: string, b: string, untilMs: number): void {
    this.cuts.push({from: a, to: b, fromMs: this.now, untilMs});
    this.cuts.push({from: b, to: a, fromMs: this.now, untilMs});
  }

  /** Gets the sum of the limits of all processes for an endpoint. */
  getLimitSum(endpointId: string): number {
    let sum = 0;
    for (const process of this.processes.values()) {
      sum += this.getProcessLimit(process, endpointId);
    }
    return sum;
  }

  /** Checks after every step that no sum of limits exceeds the slots of an endpoint. */
  checkLimitSums(): void {
    this.onStep = () => {
      for (const {id, slots} of this.options.endpoints) {
        if (this.getLimitSum(id) <= slots) continue;
        const limits = [...this.processes.values()].map(
          process => `${process.id}=${this.getProcessLimit(process, id)}`,
        );
        throw new RangeError(
          `${Math.round(this.now)} ${id} of ${slots} slots: ` +
            `${limits.join(' ')}\n${this.trace.slice(-40).join('\n')}`,
        );
      }
    };
  }

  getProcessLimit(process: SimulatedProcess, endpointId: string): number {
    if (process.isEnded) return 0;
    const now = this.getLocalTime(process);
    return getLimit(process.state, endpointId, now, process.config);
  }

  log(text: string): void {
    this.trace.push(`${Math.round(this.now)} ${text}`);
  }

  getOrders(additions: readonly InstanceInfo[]) {
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

  private runAction(process: SimulatedProcess, action: MembershipAction): void {
    if (action.type === MembershipActionType.Acknowledge) return;
    this.sentCounts.set(process.id, (this.sentCounts.get(process.id) ?? 0) + 1);
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
        this.getLocalTime(receiver),
        receiver.config,
      );
      this.checkNoneFalselyGone(receiver, state);
      receiver.state = state;
      for (const action of actions) {
        if (action.type !== MembershipActionType.Acknowledge) continue;
        this.send(receiver.id, process.id, () => done(action.message));
      }
    });
  }

  /** Delivers a call unless the link is cut or the receiver ended; a paused receiver defers it. */
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
        receiver.deferredCalls.push(() => deliver(receiver));
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
    if (!isListNeeded(process.state, process.config)) return;
    this.listReadCount++;
    const requestedAt = this.getLocalTime(process);
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

  /** Fails if the incarnation of a process that has not ended is marked gone. */
  private checkNoneFalselyGone(
    observer: SimulatedProcess,
    state: MembershipState,
  ): void {
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
          `${Math.round(this.now)}: ${observer.id} marked the live process ${id} as gone\n` +
            this.trace.slice(-40).join('\n'),
        );
      }
    }
  }
}
