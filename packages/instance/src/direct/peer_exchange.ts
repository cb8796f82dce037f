import {
  createAgent,
  connectTcp,
  getErrorMessage,
  Step,
  StepError,
  type EventLogger,
  type TimerService,
} from '@primrosestage/common';
import type {
  ControlChanges,
  ControlView,
  MemberInfo,
  MemberTable,
} from '@primrosestage/steering';
import {createPeerClient, procedure, router} from '../rpc/index.js';
import type {DirectMetrics} from './direct_metrics.js';
import {
  fromWireConfiguration,
  toWireConfiguration,
  type PeerHello,
} from './peer_message.js';

/** Time between two rounds of exchanges, in milliseconds. */
const ROUND_MS = 500;
/** Instances asked in a round. */
const FANOUT = 2;
/** Longest time of an exchange, in milliseconds. */
const CALL_TIMEOUT_MS = 600;
/** Silence after which an instance is asked only once in a while, in milliseconds. */
const QUIET_AFTER_MS = 4_000;
/** Most instances told of a change at once; further ones hear of it in their next round. */
const MAX_NOTIFIED = 16;
/** Part of the rounds in which a silent instance or a seed is asked as well. */
const PROBE_PART = 0.25;

/** Holds what exchanges between instances need. */
export interface PeerExchangeOptions {
  view: ControlView;
  members: MemberTable;
  self: () => MemberInfo;
  /** Returns control addresses of some instances; they may be stale. */
  getSeedAddresses: () => readonly string[];
  timers: TimerService;
  logger: EventLogger;
  metrics: DirectMetrics;
  /** Returns a random number in [0, 1). */
  random: () => number;
  /** Applies changes to the view, and logs and counts them. */
  apply: (changes: ControlChanges, from: string) => void;
  /** Notes how far another instance has followed the registry. */
  notePeerRevision: (revision: number) => void;
}

/**
 * Exchanges heartbeats and control state with a few other instances in each round, so that
 * news reaches all in a number of rounds that grows with the logarithm of their number, also
 * where the registry does not answer some of them.
 */
export class PeerExchange implements AsyncDisposable {
  private readonly agent = createAgent({connect: connectTcp, maxSockets: 4});
  private readonly clients = new Map<
    string,
    ReturnType<typeof createPeerClient<PeerRouter>>
  >();
  private readonly inFlight = new Set<string>();
  /** What each other instance last said of its own state. */
  private readonly lastHeard = new Map<string, PeerHello>();
  private rounds?: AsyncDisposable;

  constructor(private readonly options: PeerExchangeOptions) {}

  /** Starts the rounds. */
  start(): void {
    this.runRound();
    this.rounds = this.options.timers.every(ROUND_MS, () => this.runRound());
  }

  /**
   * Answers another instance.
   * @param hello - What it says.
   * @returns What it lacks.
   */
  receive(hello: PeerHello): PeerHello {
    this.learn(hello, hello.sender.id);
    return this.createHello(hello);
  }

  /** Tells the other instances of the region at once what changed here. */
  notifyRegion(): void {
    const {members, self} = this.options;
    const {region} = self();
    const others = members
      .getOthers()
      .filter(other => other.region === region)
      .slice(0, MAX_NOTIFIED);
    for (const {id, controlAddress} of others) {
      const known = this.lastHeard.get(id);
      void this.exchange(controlAddress, known);
    }
  }

  /** Tells some other instances at once what changed here. */
  async announce(): Promise<void> {
    const targets = this.options.members
      .getOthers()
      .map(({controlAddress}) => controlAddress);
    await Promise.all(targets.map(target => this.exchange(target)));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.rounds?.[Symbol.asyncDispose]();
    this.agent.destroy();
  }

  private runRound(): void {
    for (const address of this.chooseTargets()) void this.exchange(address);
  }

  private chooseTargets(): string[] {
    const {members, timers, random, getSeedAddresses, self} = this.options;
    const now = timers.now();
    const live: string[] = [];
    const silent: string[] = [];
    for (const {id, controlAddress} of members.getOthers()) {
      const isQuiet = members.getSilenceMs(id, now) > QUIET_AFTER_MS;
      (isQuiet ? silent : live).push(controlAddress);
    }
    const targets = new Set(pick(live, FANOUT, random));
    const followers = members.getFollowers(now);
    for (const {controlAddress} of followers.slice(0, FANOUT)) {
      targets.add(controlAddress);
    }
    if (live.length === 0 || random() < PROBE_PART) {
      const own = self().controlAddress;
      const others = [...silent, ...getSeedAddresses()].filter(
        address => address !== own,
      );
      const count = live.length === 0 ? FANOUT : 1;
      for (const address of pick(others, count, random)) targets.add(address);
    }
    return [...targets].filter(address => !this.inFlight.has(address));
  }

  private async exchange(address: string, known?: PeerHello): Promise<void> {
    const {metrics, logger} = this.options;
    this.inFlight.add(address);
    try {
      const reply = await this.getClient(address).direct.exchange.mutate(
        this.createHello(known),
      );
      metrics.peerCalls.inc({result: 'ok'});
      this.learn(reply, address);
      this.options.notePeerRevision(reply.revision);
    } catch (err) {
      metrics.peerCalls.inc({result: 'failed'});
      logger.info('peer exchange failed', {
        peer: address,
        reason: getErrorMessage(err),
      });
    } finally {
      this.inFlight.delete(address);
    }
  }

  /** Tells the own state, with what another instance lacks where its state is known. */
  private createHello(other?: PeerHello): PeerHello {
    const {view, members, timers, self} = this.options;
    const {configuration} = view;
    const now = timers.now();
    const digest = members.getDigest(now);
    const hello: PeerHello = {
      sender: self(),
      heartbeats: members.getHeartbeats(now),
      digest,
      members: members.getNews(now),
      revision: view.isComplete ? view.revision : 0,
      configurationVersion: configuration?.version ?? 0,
    };
    if (!other) return hello;
    if (other.digest !== digest) {
      const later = members.getLaterProcess(other.sender);
      hello.members = members.getAnnouncements(now).slice(1);
      if (later) hello.members.push(later);
    }
    if (view.revision > other.revision) {
      hello.changes = view.getChangesAfter(other.revision);
    }
    if (configuration && configuration.version > other.configurationVersion) {
      hello.configuration = toWireConfiguration(configuration);
    }
    return hello;
  }

  private learn(hello: PeerHello, from: string): void {
    const {members, timers, logger, view} = this.options;
    const now = timers.now();
    const {sender, heartbeats, changes, configuration} = hello;
    const joined = members.merge([sender, ...hello.members], now);
    members.mergeHeartbeats(heartbeats, now);
    for (const id of joined) logger.info('instance joined', {peer: id});
    this.lastHeard.set(sender.id, {
      ...hello,
      members: [],
      changes: undefined,
      configuration: undefined,
    });
    if (!changes && !configuration) return;
    this.options.apply(
      {
        revision: view.revision,
        isFull: false,
        endpoints: [],
        evacuations: [],
        ...changes,
        configuration: configuration && fromWireConfiguration(configuration),
      },
      from,
    );
  }

  private getClient(address: string) {
    let client = this.clients.get(address);
    if (!client) {
      client = createPeerClient<PeerRouter>({
        address,
        agent: this.agent,
        timeoutMs: CALL_TIMEOUT_MS,
      });
      this.clients.set(address, client);
    }
    return client;
  }
}

/**
 * Creates the router of exchanges between instances.
 * @param receive - Answers another instance.
 */
export function createPeerRouter(receive: (hello: PeerHello) => PeerHello) {
  return router({
    direct: router({
      exchange: procedure
        .input(parseHello)
        .mutation(({input}) => receive(input)),
    }),
  });
}

/** Router of another instance. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;

/**
 * Instances of one version speak to each other; only the outline is checked.
 * @throws StepError where the sender or its heartbeats are missing.
 */
function parseHello(input: unknown): PeerHello {
  const hello = (input ?? {}) as Partial<PeerHello>;
  const {sender, heartbeats} = hello;
  if (typeof sender?.id !== 'string' || typeof heartbeats !== 'object') {
    throw new StepError(
      {step: Step.Membership, peer: String(sender?.id ?? 'unknown')},
      'exchange without sender or heartbeats',
    );
  }
  return {
    sender,
    heartbeats,
    digest: Number(hello.digest ?? 0),
    members: Array.isArray(hello.members) ? hello.members : [],
    revision: Number(hello.revision ?? 0),
    configurationVersion: Number(hello.configurationVersion ?? 0),
    changes: hello.changes,
    configuration: hello.configuration,
  };
}

function pick(
  items: readonly string[],
  count: number,
  random: () => number,
): string[] {
  const rest = [...items];
  const picked: string[] = [];
  while (picked.length < count && rest.length > 0) {
    const index = Math.floor(random() * rest.length);
    picked.push(...rest.splice(index, 1));
  }
  return picked;
}
