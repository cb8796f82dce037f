import {getErrorMessage} from '@primrosestage/common';
import {
  createGoodbyes,
  createMembershipState,
  type EndpointOwnership,
  getLikelyOwner,
  getLimit,
  getCandidateActivity,
  type InstanceInfo,
  isListNeeded,
  Liveness,
  type Member,
  type MembershipAction,
  MembershipActionType,
  type MembershipConfig,
  type MembershipEvent,
  MembershipEventType,
  type MembershipMessage,
  type MembershipState,
  mayEarlierRequestsRun,
  MemberStatus,
  Phase,
  type PingAction,
  reduceMembership,
  splitOrder,
  type CandidateActivity,
  SUSPECT_AFTER_HEARTBEATS,
} from '@primrosestage/steering';
import {createMembershipConfig} from './create_membership_config.js';
import {createMembershipRouter} from './create_membership_router.js';
import {MembershipPeers} from './membership_peers.js';
import type {Envelope} from './membership_schema.js';
import type {MembershipTaskOptions} from './membership_task_options.js';

/** Interval of reads of the platform's instance list while it is needed, in milliseconds. */
const LIST_INTERVAL_MS = 1_500;
/** Interval of all other reads, which find the addresses of new instances, in milliseconds. */
const BACKGROUND_LIST_INTERVAL_MS = 300_000;

/** Contact with another instance of the region, for status pages. */
export interface PeerContact {
  id: string;
  standing: CandidateActivity;
  /** Time since its last message in milliseconds; undefined if there was none. */
  lastMessageAgeMs?: number;
  /** Time since the last acknowledged heartbeat in milliseconds; undefined if there was none. */
  lastAckAgeMs?: number;
}

/** Exchanges heartbeats, tracks the members and determines the owners of endpoints. */
export class MembershipTask implements EndpointOwnership, AsyncDisposable {
  private readonly config: MembershipConfig;
  private readonly peers: MembershipPeers;
  private readonly periodicTimers: AsyncDisposable[] = [];
  private state: MembershipState;
  private isDisposed = false;
  private lastListReadAt = -Infinity;

  constructor(private readonly options: MembershipTaskOptions) {
    this.config = createMembershipConfig(options);
    this.peers = new MembershipPeers(
      options.connect,
      SUSPECT_AFTER_HEARTBEATS * this.config.heartbeatMs,
    );
    this.state = createMembershipState(this.config, options.timers.now());
  }

  /** Starts the heartbeats; the internal listener must already accept RPC calls. */
  start(): void {
    const {timers, timing, listIntervalMs = LIST_INTERVAL_MS} = this.options;
    const tick = () => this.apply({type: MembershipEventType.Tick});
    this.periodicTimers.push(
      timers.every(timing.heartbeatMs / 2, tick),
      timers.every(listIntervalMs, () => void this.readListIfDue()),
    );
    tick();
    void this.readList();
  }

  /** Creates the RPC router of membership, to be merged under the key `membership`. */
  createRouter() {
    return createMembershipRouter({
      receive: envelope => this.receive(envelope),
      canReach: address => this.peers.canReach(address),
    });
  }

  getOwner(endpointId: string): InstanceInfo | undefined {
    return getLikelyOwner(this.state, endpointId, this.now(), this.config);
  }

  getLimit(endpointId: string): number {
    return getLimit(this.state, endpointId, this.now(), this.config);
  }

  /**
   * Returns whether requests of an earlier owner may still run at an endpoint; if so, admission
   * also counts the requests that the endpoint itself reports.
   * @param endpointId - Id of the endpoint.
   */
  mayEarlierRequestsRun(endpointId: string): boolean {
    const {ownership, orders} = this.state;
    const order = orders.get(endpointId) ?? [];
    const split = splitOrder(ownership, order, this.config.ownership);
    return mayEarlierRequestsRun(
      ownership,
      split?.ahead ?? [],
      this.now(),
      this.config.ownership,
    );
  }

  /** The phase of this instance. */
  get phase(): Phase {
    return this.state.ownership.phase;
  }

  /** The other instances with their state in the view of this one. */
  get members(): readonly Member[] {
    return [...this.state.members.values()];
  }

  /**
   * Gets the members of a status.
   * @param status - The status.
   * @returns The members; a leaving one has `isLeaving` set.
   */
  getMembers(status: MemberStatus): Member[] {
    return this.members.filter(member => member.status === status);
  }

  /**
   * Gets the liveness of an instance, for lookups and selection.
   * @param id - Id of the instance.
   * @returns The liveness; a removed or unknown instance counts as suspected.
   */
  getLiveness(id: string): Liveness {
    if (id === this.config.self.id) {
      return this.state.isLeaving ? Liveness.Leaving : Liveness.Live;
    }
    const member = this.state.members.get(id);
    if (member?.status === MemberStatus.Gone) return Liveness.Gone;
    if (member?.status !== MemberStatus.Alive) return Liveness.Suspected;
    return member.isLeaving ? Liveness.Leaving : Liveness.Live;
  }

  /**
   * Gets the incarnation of an instance.
   * @param id - Id of the instance.
   * @returns The incarnation, or undefined if the instance is unknown.
   */
  getIncarnation(id: string): number | undefined {
    if (id === this.config.self.id) return this.options.incarnation;
    return this.state.members.get(id)?.incarnation || undefined;
  }

  /** Gets the contact with each other instance of the region, for status pages. */
  getContacts(): PeerContact[] {
    const now = this.now();
    const {ownership} = this.state;
    const getAge = (at: number | undefined) =>
      at === undefined || at === -Infinity ? undefined : now - at;
    return [...ownership.peers].map(id => {
      const contact = ownership.contacts.get(id);
      return {
        id,
        standing: getCandidateActivity(
          ownership,
          id,
          now,
          this.config.ownership,
        ),
        lastMessageAgeMs: getAge(contact?.lastMessageAt),
        lastAckAgeMs: getAge(contact?.ackedAt),
      };
    });
  }

  /** Announces to the peers that this instance will stop; it keeps its endpoints for now. */
  async announceLeaving(): Promise<void> {
    this.apply({type: MembershipEventType.Leave});
    await this.pingAll();
  }

  /** Releases all endpoints and reports the requests still in flight to the peers. */
  async release(): Promise<void> {
    this.apply({type: MembershipEventType.Release});
    await this.pingAll();
  }

  /**
   * Announces leaving, waits and releases all endpoints.
   * @param noticeMs - Time to serve callers that hold cached lookup responses, in milliseconds.
   */
  async leave(noticeMs = 0): Promise<void> {
    await this.announceLeaving();
    await this.options.timers.sleep(noticeMs);
    await this.release();
  }

  /** Stops the heartbeats and sends a goodbye to the peers. */
  async [Symbol.asyncDispose](): Promise<void> {
    if (this.isDisposed) return;
    for (const timer of this.periodicTimers) await timer[Symbol.asyncDispose]();
    this.apply({type: MembershipEventType.Release});
    this.isDisposed = true;
    const isClean = [...this.config.getInFlight()].length === 0;
    const goodbyes = createGoodbyes(
      this.state,
      isClean,
      this.now(),
      this.config,
    );
    await Promise.allSettled(
      goodbyes.map(({target, message}) => this.send(target, message)),
    );
    this.peers[Symbol.dispose]();
  }

  private now(): number {
    return this.options.timers.now();
  }

  private apply(event: MembershipEvent): MembershipAction[] {
    if (this.isDisposed) return [];
    const before = this.state;
    const result = reduceMembership(before, event, this.now(), this.config);
    this.state = result.state;
    this.logChanges(before);
    for (const action of result.actions) {
      if (action.type === MembershipActionType.Ping) void this.ping(action);
      else if (action.type === MembershipActionType.PingIndirectly) {
        void this.pingIndirectly(action.pingId, action.via, action.target);
      }
    }
    return result.actions;
  }

  private receive({message, payload}: Envelope): Envelope {
    const {id} = message.statement;
    const event = {type: MembershipEventType.Received, message} as const;
    const {state, actions} = reduceMembership(
      this.state,
      event,
      this.now(),
      this.config,
    );
    const before = this.state;
    this.state = state;
    this.logChanges(before);
    this.options.handlePayload?.(id, payload);
    const acknowledgement = actions.find(
      action => action.type === MembershipActionType.Acknowledge,
    );
    return {
      message: acknowledgement!.message,
      payload: this.options.getPayload?.(),
    };
  }

  private async ping(action: PingAction): Promise<void> {
    const {pingId, sentAt, sentPhase, target} = action;
    try {
      const {message, payload} = await this.send(target, action.message);
      this.apply({
        type: MembershipEventType.Acknowledged,
        pingId,
        sentAt,
        sentPhase,
        message,
      });
      this.options.handlePayload?.(target.id, payload);
    } catch (err) {
      // The reducer handles the missing acknowledgement.
      this.options.logger.debug('heartbeat failed', {
        peer: target.id,
        reason: getErrorMessage(err),
      });
    }
  }

  /** Sends a heartbeat to every member that is up, in addition to the periodic heartbeats. */
  private async pingAll(): Promise<void> {
    const {ownership} = this.state;
    const sentPhase = ownership.phase;
    const goodbyes = createGoodbyes(this.state, true, this.now(), this.config);
    await Promise.all(
      goodbyes.map(async ({target, message}) => {
        const sentAt = this.now();
        await this.ping({
          type: MembershipActionType.Ping,
          pingId: 0,
          target,
          sentAt,
          sentPhase,
          message: {...message, goodbye: undefined},
        });
      }),
    );
  }

  private async pingIndirectly(
    pingId: number,
    via: InstanceInfo,
    target: InstanceInfo,
  ): Promise<void> {
    try {
      const address = target.internalAddress;
      const isReached = await this.peers.canReachVia(via, address);
      if (!isReached) return;
      this.apply({type: MembershipEventType.IndirectlyAcknowledged, pingId});
    } catch (err) {
      this.options.logger.debug('indirect heartbeat failed', {
        peer: target.id,
        via: via.id,
        reason: getErrorMessage(err),
      });
    }
  }

  private send(
    target: InstanceInfo,
    message: MembershipMessage,
  ): Promise<Envelope> {
    return this.peers.send(target, message, this.options.getPayload?.());
  }

  private async readListIfDue(): Promise<void> {
    const isDue =
      this.now() >= this.lastListReadAt + BACKGROUND_LIST_INTERVAL_MS ||
      isListNeeded(this.state, this.config);
    if (isDue) await this.readList();
  }

  private async readList(): Promise<void> {
    const {readPlatformList, logger} = this.options;
    if (!readPlatformList) return;
    const requestedAt = this.now();
    try {
      const listed = await readPlatformList();
      this.lastListReadAt = requestedAt;
      this.apply({
        type: MembershipEventType.ListRead,
        requestedAt,
        instances: listed.map(entry => ({
          id: entry.id,
          zone: entry.zone,
          region: entry.region,
          publicAddress: entry.public,
          internalAddress: entry.internal,
          adminAddress: this.getAdminAddress(entry.id),
        })),
      });
    } catch (err) {
      logger.debug('reading the platform instance list failed', {
        reason: getErrorMessage(err),
      });
    }
  }

  /** Gets the address from the settings, as the platform's list has no administration addresses. */
  private getAdminAddress(id: string): string {
    return this.options.topology.getInstance(id)?.adminAddress ?? '';
  }

  private logChanges(before: MembershipState): void {
    const {logger} = this.options;
    if (before.ownership.phase !== this.phase) {
      logger.info('ownership phase changed', {phase: this.phase});
    }
    for (const [id, member] of this.state.members) {
      const status = before.members.get(id)?.status;
      if (status === undefined || status === member.status) continue;
      logger.info('member status changed', {
        peer: id,
        from: status,
        to: member.status,
        incarnation: member.incarnation,
      });
    }
  }
}
