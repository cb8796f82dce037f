import type {EventLogger, StepError, TimerService} from '@primrosestage/common';
import {
  applyConfigurationDelta,
  type ConfigurationDelta,
  type ControlChanges,
  type ControlView,
  type EndpointLimits,
  FollowerElection,
  MemberDissemination,
  type MemberInfo,
  type MemberTable,
  pickRandom,
  RecentDeltas,
  type SharedLimit,
  splitBroadcast,
} from '@primrosestage/steering';
import type {DirectMetrics} from '../direct_metrics.js';
import type {ConfigurationLag} from './configuration_lag.js';
import {
  type Datagram,
  decodeDatagram,
  encodeDatagram,
  type GossipChanges,
  type GossipMessage,
} from './gossip_message.js';
import type {GossipSocket} from './gossip_socket.js';
import type {PeerExchange} from './peer_exchange.js';
import type {PermitMessage} from '../limits/permit_message.js';
import type {QuotaMessage} from '../limits/quota_message.js';
import {shortenGrace} from './shorten_grace.js';
import {splitChanges} from './split_changes.js';

/** Time between two rounds, in milliseconds. */
const ROUND_MS = 400;
/** Instances that receive a message in each round: of the own zone and of the whole region. */
const ZONE_FANOUT = 1;
const REGION_FANOUT = 1;
/** Rounds between messages to an instance of another region. */
const ROUNDS_PER_REMOTE = 2;
/** Rounds between messages to a silent instance, which probe whether it is back. */
const ROUNDS_PER_PROBE = 3;
/** Rounds between pulls from a seed; an instance that knows no live one pulls in each round. */
const ROUNDS_PER_SEED = 5;
/** Limits on heartbeats and announcements per message; a datagram holds at most 64 KiB. */
const MAX_HEARTBEATS = 64;
const MAX_ANNOUNCEMENTS = 12;
const MAX_LIMITS = 32;
/** Limit on corrected endpoints per datagram, so that few networks fragment it. */
const MAX_CORRECTIONS = 4;
/** Minimum time between two broadcasts of changed rate limits, in milliseconds. */
const LIMIT_BROADCAST_INTERVAL_MS = 400;
/** Minimum time between two pulls of members, in milliseconds. */
const MEMBER_PULL_INTERVAL_MS = 2_000;
/** The same until the member digest of this instance has matched that of another one once. */
const FIRST_MEMBER_PULL_INTERVAL_MS = 400;
/** Minimum time between two log lines about failed or malformed datagrams, in milliseconds. */
const FAILURE_LOG_INTERVAL_MS = 10_000;

/** Configures gossip. */
export interface GossipOptions {
  socket: GossipSocket;
  exchange: PeerExchange;
  view: ControlView;
  members: MemberTable;
  limits: EndpointLimits;
  /** Merges rate limits that another instance has read. */
  mergeLimits: (shared: readonly SharedLimit[]) => void;
  self: () => MemberInfo;
  /** Counts a heartbeat of this instance. */
  countHeartbeat: () => void;
  /** Returns control addresses of some instances; they may be stale. */
  getSeedAddresses: () => readonly string[];
  timers: TimerService;
  logger: EventLogger;
  metrics: DirectMetrics;
  /** Returns a random number in [0, 1). */
  random: () => number;
  /** Applies changes to the view, and logs and counts them. */
  apply: (changes: ControlChanges, from: string) => void;
  /** Handles a datagram about permits. */
  receivePermit: (message: PermitMessage) => void;
  /** Handles a datagram about quotas. */
  receiveQuota: (message: QuotaMessage) => void;
  /** Records how far another instance has followed the registry. */
  recordPeerRevision: (revision: number) => void;
  configurationLag: ConfigurationLag;
}

/**
 * Spreads heartbeats and changes by datagrams of bounded size. Each round sends to a few random
 * instances. Changes of the control state and of this instance's own state are also broadcast at
 * once along a tree over each region. What does not fit into a datagram or was lost is pulled in
 * an exchange.
 */
export class Gossip implements AsyncDisposable {
  private roundTimer?: AsyncDisposable;
  private roundCount = 0;
  private announcedVersion = 0;
  private lastMemberPullAt = -Infinity;
  private hasMatchedDigest = false;
  private failureCount = 0;
  private failureLoggedAt = -Infinity;
  private limitsBroadcastAt = -Infinity;
  private limitBroadcastTimer?: Disposable;

  private readonly deltas = new RecentDeltas();
  private readonly election: FollowerElection;
  private readonly dissemination: MemberDissemination;

  constructor(private readonly options: GossipOptions) {
    this.election = new FollowerElection(options.members);
    this.dissemination = new MemberDissemination(options.members);
  }

  /** Opens the socket and starts the rounds. */
  async start(): Promise<void> {
    await this.options.socket.open(bytes => this.receive(bytes));
    this.runRound();
    this.roundTimer = this.options.timers.every(ROUND_MS, () =>
      this.runRound(),
    );
  }

  /**
   * Broadcasts changes of this instance's view at once.
   * @param since - Revision up to which the view was complete before.
   * @param configurationDelta - The change of the configuration, if there is one.
   */
  broadcastChanges(
    since: number,
    configurationDelta?: ConfigurationDelta,
  ): void {
    const {view, timers} = this.options;
    const changes = view.getChangesAfter(since, timers.now());
    const parts = splitChanges({since, ...changes});
    if (configurationDelta) this.deltas.add(configurationDelta, timers.now());
    for (const part of parts) this.broadcastToAllRegions(part);
  }

  /** Broadcasts what this instance holds against the registry's older copy. */
  broadcastCorrections(): void {
    const {view} = this.options;
    const corrections = view.getCorrections();
    if (!corrections) return;
    // The view of a receiver must have reached this era, which a part must not make it skip.
    const {revision} = view;
    const {endpoints, evacuations} = corrections;
    for (let i = 0; i === 0 || i < endpoints.length; i += MAX_CORRECTIONS) {
      this.broadcastToAllRegions({
        since: revision,
        revision,
        isFull: false,
        endpoints: endpoints.slice(i, i + MAX_CORRECTIONS),
        evacuations: i === 0 ? evacuations : [],
      });
    }
  }

  /** Broadcasts at once that the state of this instance has changed. */
  announce(): void {
    this.announcedVersion = this.options.self().version;
    this.broadcastToAllRegions();
  }

  /** Broadcasts changed rate limits at once, or together with others after a short interval. */
  announceLimits(): void {
    if (this.limitBroadcastTimer) return;
    const {timers} = this.options;
    const sinceMs = timers.now() - this.limitsBroadcastAt;
    if (sinceMs >= LIMIT_BROADCAST_INTERVAL_MS) {
      this.broadcastLimits();
      return;
    }
    this.limitBroadcastTimer = timers.after(
      LIMIT_BROADCAST_INTERVAL_MS - sinceMs,
      () => this.broadcastLimits(),
    );
  }

  /**
   * Sends a datagram about permits or quotas.
   * @param message - The message.
   * @param address - Address of the other instance, `host:port`.
   */
  sendDirect(message: PermitMessage | QuotaMessage, address: string): void {
    this.sendTo(address, message);
  }

  /**
   * Counts and logs an error of the socket.
   * @param err - The error, which names the peer.
   */
  handleError(err: StepError): void {
    this.options.metrics.gossip.inc({result: 'failed'});
    this.reportFailure(err.message, err.peer);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.roundTimer?.[Symbol.asyncDispose]();
    this.limitBroadcastTimer?.[Symbol.dispose]();
    await this.options.socket[Symbol.asyncDispose]();
  }

  /** Starts a broadcast tree over each region; in another region, its root is a random instance. */
  private broadcastToAllRegions(changes?: GossipChanges): void {
    const {members, timers, self, random} = this.options;
    const {region} = self();
    this.broadcastToRegion(changes);
    const live = members.getLive(timers.now());
    for (const [other, ring] of groupByRegion(live)) {
      if (other === region) continue;
      const message = this.createMessage(ring.length - 1, changes);
      for (const root of pickRandom(ring, 1, random)) {
        this.send(root, message);
      }
    }
  }

  private broadcastLimits(): void {
    this.limitBroadcastTimer = undefined;
    this.limitsBroadcastAt = this.options.timers.now();
    this.broadcastToAllRegions();
  }

  private runRound(): void {
    const {members, timers, self, random, countHeartbeat} = this.options;
    const now = timers.now();
    countHeartbeat();
    this.roundCount++;
    const {id, zone, region, version, isFollowing} = self();
    if (version !== this.announcedVersion) this.announce();
    const live = members.getLive(now).filter(other => other.id !== id);
    const sameRegion = live.filter(other => other.region === region);
    const targets = new Set([
      ...pickRandom(
        sameRegion.filter(other => other.zone === zone),
        ZONE_FANOUT,
        random,
      ),
      ...pickRandom(sameRegion, REGION_FANOUT, random),
    ]);
    if (isFollowing) {
      for (const standby of this.election.getStandbys(now))
        targets.add(standby);
    }
    if (this.isEveryNthRound(ROUNDS_PER_REMOTE)) {
      const otherRegions = live.filter(other => other.region !== region);
      for (const other of pickRandom(otherRegions, 1, random))
        targets.add(other);
    }
    if (this.isEveryNthRound(ROUNDS_PER_PROBE)) {
      const liveSet = new Set(live);
      const silent = members.getOthers().filter(other => !liveSet.has(other));
      for (const other of pickRandom(silent, 1, random)) targets.add(other);
    }
    for (const target of targets) this.send(target, this.createMessage(0));
    this.pullFromSeed(live);
  }

  /** Pulls from a seed that is not known to be live, which joins separate groups. */
  private pullFromSeed(live: readonly MemberInfo[]): void {
    const {getSeedAddresses, self, exchange, random} = this.options;
    if (live.length > 0 && !this.isEveryNthRound(ROUNDS_PER_SEED)) return;
    const known = new Set([
      self().controlAddress,
      ...live.map(({controlAddress}) => controlAddress),
    ]);
    const unknown = getSeedAddresses().filter(seed => !known.has(seed));
    for (const seed of pickRandom(unknown, 1, random)) {
      void exchange.pull(seed, {includesMembers: true});
    }
  }

  private isEveryNthRound(period: number): boolean {
    return this.roundCount % period === 0;
  }

  private receive(bytes: Buffer): void {
    const {metrics, self} = this.options;
    const message = decodeDatagram(bytes);
    if (!message) {
      metrics.gossip.inc({result: 'malformed'});
      this.reportFailure('datagram cannot be read', 'unknown');
      return;
    }
    metrics.gossip.inc({result: 'received'});
    if ('type' in message) {
      if ('group' in message) this.options.receiveQuota(message);
      else this.options.receivePermit(message);
      return;
    }
    if (message.sender.id === self().id) return;
    const counterBefore = this.getStateCounter();
    const receivedAt = this.options.timers.now();
    this.applyMessage(message);
    const includesMembers = this.startMemberPullIfDue(message);
    if (!includesMembers && !this.isBehind(message)) {
      this.relay(message, counterBefore, receivedAt);
      return;
    }
    void this.options.exchange
      .pull(message.sender.controlAddress, {
        peerState: message,
        includesMembers,
      })
      .then(() => this.relay(message, counterBefore, receivedAt));
  }

  /** Returns a number that rises with each change of control state that this instance learns. */
  private getStateCounter(): number {
    const {version, configuration} = this.options.view;
    return version + (configuration?.version ?? 0);
  }

  private applyMessage(message: GossipMessage): void {
    const {view, exchange, apply} = this.options;
    const {sender, changes, configurationDeltas} = message;
    this.options.mergeLimits(message.limits ?? []);
    exchange.mergeMembers([sender, ...message.members], message.heartbeats);
    if (changes && view.isComplete && view.revision >= changes.since) {
      apply(changes, sender.id);
    }
    for (const delta of configurationDeltas) this.applyDelta(delta, sender.id);
    view.advanceRevision(message.changedRevision, message.revision);
    this.options.recordPeerRevision(message.revision);
    const {configurationVersion} = message;
    this.options.configurationLag.recordSeen(configurationVersion, sender.id);
  }

  /** Takes a change of the configuration over if it leads on from the one in force. */
  private applyDelta(delta: ConfigurationDelta, from: string): void {
    const {view, timers, apply} = this.options;
    const configuration =
      view.configuration && applyConfigurationDelta(view.configuration, delta);
    if (!configuration) return;
    this.deltas.add(delta, timers.now());
    const {revision} = view;
    apply(
      {
        revision,
        isFull: false,
        endpoints: [],
        evacuations: [],
        configuration,
      },
      from,
    );
  }

  /** Says whether the sender has control state that this instance lacks. */
  private isBehind(message: GossipMessage): boolean {
    const {view} = this.options;
    const {configuration} = view;
    if (message.configurationVersion > (configuration?.version ?? 0)) {
      return true;
    }
    if (message.revision > 0) {
      // The full state is large, so it is pulled from one instance at a time.
      if (!view.isComplete) return !this.options.exchange.isBusy;
      return view.isBehind(message.changedRevision, message.revision);
    }
    return false;
  }

  /** Says whether to pull members because the digests differ, and notes the time of the pull. */
  private startMemberPullIfDue({digest}: GossipMessage): boolean {
    const {timers} = this.options;
    const now = timers.now();
    if (digest === this.dissemination.getDigest(now)) {
      this.hasMatchedDigest = true;
      return false;
    }
    const intervalMs = this.hasMatchedDigest
      ? MEMBER_PULL_INTERVAL_MS
      : FIRST_MEMBER_PULL_INTERVAL_MS;
    if (now - this.lastMemberPullAt < intervalMs) return false;
    this.lastMemberPullAt = now;
    return true;
  }

  /** Followers of several regions broadcast the same change; only the first copy is forwarded. */
  private relay(
    message: GossipMessage,
    before: number,
    receivedAt: number,
  ): void {
    const {reach, changes, sender} = message;
    const {self, timers} = this.options;
    const isRemote = sender.region !== self().region;
    if (isRemote && changes && this.getStateCounter() === before) return;
    if (reach === 0) return;
    const heldMs = timers.now() - receivedAt;
    this.broadcastToRegion(changes && shortenGrace(changes, heldMs), reach);
  }

  /** Sends a message to the next instances of the broadcast tree over the region's ring. */
  private broadcastToRegion(changes?: GossipChanges, reach = Infinity): void {
    const {members, timers, self} = this.options;
    const {id, region} = self();
    const ring = members.getRing(region, timers.now());
    const index = ring.findIndex(other => other.id === id);
    for (const branch of splitBroadcast(Math.min(reach, ring.length - 1))) {
      const target = ring[(index + branch.offset) % ring.length];
      if (target) this.send(target, this.createMessage(branch.reach, changes));
    }
  }

  private createMessage(reach: number, changes?: GossipChanges): GossipMessage {
    const {limits, timers, exchange} = this.options;
    const now = timers.now();
    return {
      ...exchange.createState(),
      heartbeats: changes
        ? {}
        : this.dissemination.selectHeartbeats(MAX_HEARTBEATS, now),
      members: changes
        ? []
        : this.dissemination.getRecentChanges(MAX_ANNOUNCEMENTS, now),
      changes,
      configurationDeltas: this.deltas.get(now),
      limits: changes ? [] : limits.selectShared(MAX_LIMITS, now),
      reach,
    };
  }

  private send(target: MemberInfo, message: GossipMessage): void {
    this.sendTo(target.gossipAddress, message);
  }

  private sendTo(address: string, message: Datagram): void {
    const {socket, metrics} = this.options;
    metrics.gossip.inc({result: 'sent'});
    socket.send(encodeDatagram(message), address);
  }

  private reportFailure(reason: string, peer: string): void {
    const {timers, logger} = this.options;
    this.failureCount++;
    const now = timers.now();
    if (now - this.failureLoggedAt < FAILURE_LOG_INTERVAL_MS) return;
    this.failureLoggedAt = now;
    logger.warn('gossip failed', {reason, peer, failures: this.failureCount});
  }
}

function groupByRegion(
  infos: readonly MemberInfo[],
): Map<string, MemberInfo[]> {
  const groups = new Map<string, MemberInfo[]>();
  for (const info of infos) {
    const group = groups.get(info.region) ?? [];
    groups.set(info.region, group);
    group.push(info);
  }
  return groups;
}
