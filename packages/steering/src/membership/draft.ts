import {
  type OwnershipEvent,
  OwnershipEventType,
  Phase,
  reduceOwnership,
} from '../ownership/index.js';
import type {InstanceInfo} from '../topology/index.js';
import {type Member, MemberStatus, type MemberUpdate} from './member.js';
import {
  createMember,
  getAdditions,
  type MembershipConfig,
  type MembershipState,
  type PendingPing,
  type QueuedUpdate,
} from './membership_state.js';

/** Times that an update is sent, as a factor of the logarithm of the member count. */
const SENDS_FACTOR = 3;

const STATUS_RANK = [
  MemberStatus.Alive,
  MemberStatus.Suspected,
  MemberStatus.Removed,
  MemberStatus.Gone,
];

const PHASE_RANK = [Phase.Joining, Phase.Active, Phase.Released];

/** Collects the changes of one event to a membership state without modifying that state. */
export class Draft {
  private changes: Partial<MembershipState> = {};
  private readonly copies = new Set<unknown>();

  constructor(
    private readonly base: MembershipState,
    readonly now: number,
    readonly config: MembershipConfig,
  ) {}

  /** The members with the changes so far. */
  get members(): ReadonlyMap<string, Member> {
    return this.changes.members ?? this.base.members;
  }

  /** The queued updates with the changes so far. */
  get updates(): ReadonlyMap<string, QueuedUpdate> {
    return this.changes.updates ?? this.base.updates;
  }

  /** The unacknowledged heartbeats, with the changes so far. */
  get pendingPings(): ReadonlyMap<number, PendingPing> {
    return this.changes.pendingPings ?? this.base.pendingPings;
  }

  /** The state with the changes so far. */
  get state(): MembershipState {
    return {...this.base, ...this.changes};
  }

  /** Replaces fields of the state. */
  set(changes: Partial<MembershipState>): void {
    this.changes = {...this.changes, ...changes};
  }

  /** Replaces a member without queueing an update for other instances. */
  setMember(id: string, member: Member): void {
    this.set({members: this.copy(this.members).set(id, member)});
  }

  /** Queues an update, or removes it from the queue if `update` is undefined. */
  setUpdate(id: string, update: QueuedUpdate | undefined): void {
    const updates = this.copy(this.updates);
    if (update) updates.set(id, update);
    else updates.delete(id);
    this.set({updates});
  }

  /** Records an unacknowledged heartbeat, or removes it if `ping` is undefined. */
  setPendingPing(id: number, ping: PendingPing | undefined): void {
    const pending = this.copy(this.pendingPings);
    if (ping) pending.set(id, ping);
    else pending.delete(id);
    this.set({pendingPings: pending});
  }

  /** Copies a map on its first change, because an event changes few of the maps. */
  private copy<K, V>(map: ReadonlyMap<K, V>): Map<K, V> {
    if (this.copies.has(map)) return map as Map<K, V>;
    const copy = new Map(map);
    this.copies.add(copy);
    return copy;
  }

  /** Applies an event to the ownership state. */
  applyOwnership(event: OwnershipEvent): void {
    const {ownership} = this.state;
    this.set({
      ownership: reduceOwnership(
        ownership,
        event,
        this.now,
        this.config.ownership,
      ),
    });
  }

  /** Adds an instance that the settings do not list, or updates the addresses of a known one. */
  addMember(info: InstanceInfo): void {
    if (info.id === this.config.self.id) return;
    const old = this.members.get(info.id);
    this.setMember(
      info.id,
      old ? {...old, info} : createMember(info, this.now),
    );
    if (old || info.region !== this.config.self.region) return;
    const additions = getAdditions(this.config, this.members.values());
    this.set({orders: this.config.getOrders(additions)});
  }

  /** Replaces fields of a member and queues an update for other instances. */
  changeMember(id: string, changes: Partial<Member>): void {
    const old = this.members.get(id);
    if (!old) return;
    const isStatusChanged =
      changes.status !== undefined && changes.status !== old.status;
    const statusChangedAt = isStatusChanged ? this.now : old.statusChangedAt;
    const member = {...old, ...changes, statusChangedAt};
    this.setMember(id, member);
    this.queueUpdate(createUpdate(member));
  }

  /** Queues an update to be sent with the next messages. */
  queueUpdate(update: MemberUpdate): void {
    const sendsLeft =
      SENDS_FACTOR * Math.ceil(Math.log2(this.members.size + 2));
    this.setUpdate(update.id, {update, sendsLeft});
  }

  /** Applies an update about a member that another instance sent. */
  applyUpdate(update: MemberUpdate): void {
    if (update.id === this.config.self.id) {
      this.refute(update);
      return;
    }
    const old = this.members.get(update.id);
    if (!old || !isNewer(update, old)) return;
    const isSameIncarnation = old.incarnation === update.incarnation;
    this.changeMember(update.id, {
      incarnation: update.incarnation,
      refutation: update.refutation,
      status: update.status,
      phase: update.phase,
      isLeaving: update.isLeaving || (isSameIncarnation && old.isLeaving),
      seenAt: isSameIncarnation ? old.seenAt : this.now,
    });
    if (update.status !== MemberStatus.Gone) return;
    this.applyOwnership({
      type: OwnershipEventType.Goodbye,
      id: update.id,
      incarnation: update.incarnation,
      isClean: false,
    });
  }

  private refute(update: MemberUpdate): void {
    const {refutation} = this.state;
    const isReportedDown =
      update.status === MemberStatus.Suspected ||
      update.status === MemberStatus.Removed;
    if (
      !isReportedDown ||
      update.incarnation !== this.config.ownership.incarnation ||
      update.refutation < refutation
    ) {
      return;
    }
    this.set({refutation: update.refutation + 1});
    this.queueSelfUpdate();
  }

  /** Queues an update with the state of this instance. */
  queueSelfUpdate(): void {
    const {refutation, isLeaving, ownership} = this.state;
    this.queueUpdate({
      id: this.config.self.id,
      incarnation: this.config.ownership.incarnation,
      refutation,
      status: MemberStatus.Alive,
      phase: ownership.phase,
      isLeaving,
    });
  }
}

/**
 * Creates the update that describes the current view of a member.
 * @param member - The member.
 * @returns The update.
 */
export function createUpdate(member: Member): MemberUpdate {
  const {info, incarnation, refutation, status, phase, isLeaving} = member;
  return {id: info.id, incarnation, refutation, status, phase, isLeaving};
}

function isNewer(update: MemberUpdate, old: Member): boolean {
  if (update.incarnation !== old.incarnation) {
    return update.incarnation > old.incarnation;
  }
  if (old.status === MemberStatus.Gone) return false;
  if (update.status === MemberStatus.Gone) return true;
  if (update.refutation !== old.refutation) {
    return update.refutation > old.refutation;
  }
  const isStatusWorse =
    STATUS_RANK.indexOf(update.status) > STATUS_RANK.indexOf(old.status);
  return (
    isStatusWorse ||
    (update.isLeaving && !old.isLeaving) ||
    PHASE_RANK.indexOf(update.phase) > PHASE_RANK.indexOf(old.phase)
  );
}
