import {
  createAgent,
  connectTcp,
  getErrorMessage,
  Step,
  StepError,
  type EventLogger,
  type TimerService,
} from '@primrosestage/common';
import {
  type ControlChanges,
  type ControlView,
  type EndpointLimits,
  type Heartbeats,
  MemberDissemination,
  type MemberInfo,
  type MemberTable,
  type SharedLimit,
} from '@primrosestage/steering';
import {createPeerClient, procedure, router} from '../../rpc/index.js';
import type {DirectMetrics} from '../direct_metrics.js';
import type {PeerState} from './gossip_message.js';
import {
  fromWireConfiguration,
  toWireConfiguration,
  type PeerMessage,
} from './peer_message.js';
import {shortenGrace} from './shorten_grace.js';
import {isSharedLimit} from '../limits/permit_message.js';

/**
 * Timeout of an exchange, in milliseconds. On the full link of a small machine, a request alone can
 * wait for more than half a second, and the answer to it is still of use.
 */
const CALL_TIMEOUT_MS = 3_000;
/** Time after which an exchange makes room for another one while it goes on, in milliseconds. */
const LATE_CALL_MS = 600;
/**
 * Limit on pending exchanges that are not late; a pull beyond it is skipped until a later message
 * triggers it. With the times above, it also limits the late ones.
 */
const MAX_PENDING_CALLS = 3;
/** Limit on rate limits of endpoints per message. */
const MAX_LIMITS = 200;

/** Configures exchanges between instances. */
export interface PeerExchangeOptions {
  view: ControlView;
  members: MemberTable;
  limits: EndpointLimits;
  /** Merges rate limits that another instance has read. */
  mergeLimits: (shared: readonly SharedLimit[]) => void;
  self: () => MemberInfo;
  timers: TimerService;
  logger: EventLogger;
  metrics: DirectMetrics;
  /** Applies changes to the view, and logs and counts them. */
  apply: (changes: ControlChanges, from: string) => void;
  /** Records how far another instance has followed the registry. */
  recordPeerRevision: (revision: number) => void;
}

/** Configures a pull from another instance. */
export interface PullOptions {
  /** State that the other instance last reported. */
  peerState?: PeerState;
  /** Whether to request the announcements that this instance lacks as well. */
  includesMembers: boolean;
}

/**
 * Pulls state that this instance lacks from other instances, and answers their pulls. Exchanges
 * make up for lost datagrams, carry what is too large for one, and work without the registry.
 */
export class PeerExchange implements AsyncDisposable {
  private readonly agent = createAgent({connect: connectTcp, maxSockets: 6});
  private readonly clients = new Map<
    string,
    ReturnType<typeof createPeerClient<PeerRouter>>
  >();
  private readonly pendingCalls = new Map<string, Promise<void>>();

  private readonly dissemination: MemberDissemination;

  constructor(private readonly options: PeerExchangeOptions) {
    this.dissemination = new MemberDissemination(options.members);
  }

  /** Whether an exchange that this instance started is pending and not late. */
  get isBusy(): boolean {
    return this.pendingCalls.size > 0;
  }

  /**
   * Handles a pull of another instance.
   * @param message - Its request.
   * @returns The state that it lacks.
   */
  receive(message: PeerMessage): PeerMessage {
    const {members, timers} = this.options;
    const {id} = message.sender;
    this.applyMessage(message, id);
    const membership = members.createMembershipReply(id, timers.now());
    return {...this.createMessage(message), membership};
  }

  /**
   * Pulls the state that this instance lacks from another one, and sends it the state that it is
   * known to lack. Failures are logged and not thrown. Returns when the exchange has ended or is
   * late; a late answer is applied all the same.
   * @param address - Its control address.
   * @param options - Its last reported state, and what to request.
   */
  async pull(address: string, options: PullOptions): Promise<void> {
    const pending = this.pendingCalls.get(address);
    if (pending) return pending;
    if (this.pendingCalls.size >= MAX_PENDING_CALLS) return;
    const call = this.awaitUntilLate(this.call(address, options));
    this.pendingCalls.set(address, call);
    await call;
    this.pendingCalls.delete(address);
  }

  /** Describes the state of this instance. */
  createState(): PeerState {
    const {view, timers, self} = this.options;
    return {
      sender: self(),
      digest: this.dissemination.getDigest(timers.now()),
      revision: view.isComplete ? view.revision : 0,
      changedRevision: view.changedRevision,
      configurationVersion: view.configuration?.version ?? 0,
    };
  }

  /**
   * Merges announcements and heartbeats of other instances.
   * @param infos - Announcements.
   * @param heartbeats - Heartbeats of instances whose announcements may be known.
   */
  mergeMembers(infos: readonly MemberInfo[], heartbeats: Heartbeats): void {
    const {members, timers, logger} = this.options;
    const now = timers.now();
    const joined = members.merge(infos, now);
    members.mergeHeartbeats(heartbeats, now);
    for (const id of joined) logger.info('instance joined', {peer: id});
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.agent.destroy();
  }

  private async awaitUntilLate(call: Promise<void>): Promise<void> {
    let timer: Disposable | undefined;
    const late = new Promise<void>(resolve => {
      timer = this.options.timers.after(LATE_CALL_MS, resolve);
    });
    try {
      await Promise.race([call, late]);
    } finally {
      timer?.[Symbol.dispose]();
    }
  }

  private async call(
    address: string,
    {peerState, includesMembers}: PullOptions,
  ): Promise<void> {
    const {metrics, logger, members, timers, recordPeerRevision} = this.options;
    const message = this.createMessage(peerState);
    if (includesMembers) {
      message.announcementDigests = this.dissemination.getDigests(timers.now());
    }
    const sentAt = timers.now();
    try {
      const reply =
        await this.getClient(address).direct.exchange.mutate(message);
      metrics.peerCalls.inc({result: 'ok'});
      const {changes} = reply;
      const elapsedMs = timers.now() - sentAt;
      this.applyMessage(
        {...reply, changes: changes && shortenGrace(changes, elapsedMs)},
        address,
      );
      if (includesMembers && reply.membership) {
        members.recordMembersReceived(reply.membership, timers.now());
      }
      recordPeerRevision(reply.revision);
    } catch (err) {
      metrics.peerCalls.inc({result: 'failed'});
      logger.info('peer exchange failed', {
        peer: address,
        reason: getErrorMessage(err),
      });
    }
  }

  /** Creates a message with the own state and, if another one's state is known, what that lacks. */
  private createMessage(other?: Partial<PeerMessage> & PeerState): PeerMessage {
    const {view, limits, timers} = this.options;
    const {configuration} = view;
    const message: PeerMessage = {
      ...this.createState(),
      heartbeats: {},
      members: [],
      limits: limits.selectShared(MAX_LIMITS, timers.now()),
    };
    if (!other) return message;
    if (other.announcementDigests) {
      message.members = this.dissemination.getDifferingAnnouncements(
        other.announcementDigests,
        timers.now(),
      );
    }
    const laterProcess = this.dissemination.getLaterProcess(other.sender);
    if (laterProcess) message.members.push(laterProcess);
    if (view.revision > other.revision) {
      message.changes = view.getChangesAfter(other.revision, timers.now());
    } else if (view.revision === other.revision) {
      // An instance that started in the present era has not learned these otherwise.
      message.changes = view.getCorrections();
    }
    if (configuration && configuration.version > other.configurationVersion) {
      message.configuration = toWireConfiguration(configuration);
    }
    return message;
  }

  private applyMessage(message: PeerMessage, from: string): void {
    const {view} = this.options;
    const {sender, heartbeats, changes, configuration} = message;
    this.mergeMembers([sender, ...message.members], heartbeats);
    this.options.mergeLimits(message.limits ?? []);
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
 * @param receive - Handles a pull of another instance.
 */
export function createPeerRouter(
  receive: (message: PeerMessage) => PeerMessage,
) {
  return router({
    direct: router({
      exchange: procedure
        .input(parsePeerMessage)
        .mutation(({input}) => receive(input)),
    }),
  });
}

/** Router of another instance. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;

/**
 * Parses a message. Checks only its outline, since only instances of one version communicate.
 * @throws StepError if the sender or its heartbeats are missing.
 */
function parsePeerMessage(input: unknown): PeerMessage {
  const message = (input ?? {}) as Partial<PeerMessage>;
  const {sender, heartbeats} = message;
  if (typeof sender?.id !== 'string' || typeof heartbeats !== 'object') {
    throw new StepError(
      {step: Step.Membership, peer: String(sender?.id ?? 'unknown')},
      'exchange without sender or heartbeats',
    );
  }
  return {
    sender,
    heartbeats,
    digest: Number(message.digest ?? 0),
    members: Array.isArray(message.members) ? message.members : [],
    limits: (message.limits ?? []).filter(isSharedLimit),
    revision: Number(message.revision ?? 0),
    changedRevision: Number(message.changedRevision ?? 0),
    configurationVersion: Number(message.configurationVersion ?? 0),
    announcementDigests: message.announcementDigests,
    changes: message.changes,
    configuration: message.configuration,
  };
}
