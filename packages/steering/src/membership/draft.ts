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

/** Factor of the logarithm of the member count: how often an update is passed on. */
const SENDS_FACTOR = 3;

const STATUS_RANK = [
  MemberStatus.Alive,
  MemberStatus.Suspected,
  MemberStatus.Removed,
  MemberStatus.Gone,
];

const PHASE_RANK = [Phase.Joining, Phase.Active, Phase.Released];

/** Collects the changes that one event makes to a membership state, which stays unchanged. */
export class Draft {
  readonly members: Map<string, Member>;
  readonly updates: Map<string, QueuedUpdate>;
  readonly pending: Map<number, PendingPing>;
  private changes: Partial<MembershipState> = {};

  constructor(
    private readonly base: MembershipState,
    readonly now: number,
    readonly config: MembershipConfig,
  ) {
    this.members = new Map(base.members);
    this.updates = new Map(base.updates);
    this.pending = new Map(base.pending);
  }

  /** The state with the changes so far. */
  get state(): MembershipState {
    const {members, updates, pending} = this;
    return {...this.base, ...this.changes, members, updates, pending};
  }

  /** Replaces fields of the state. */
  set(changes: Partial<MembershipState>): void {
    this.changes = {...this.changes, ...changes};
  }

  /** Applies an event to the ownership part. */
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

  /** Adds an instance that the settings do not name, or takes over its new addresses. */
  addMember(info: InstanceInfo): void {
    if (info.id === this.config.self.id) return;
    const old = this.members.get(info.id);
    this.members.set(
      info.id,
      old ? {...old, info} : createMember(info, this.now),
    );
    if (old || info.region !== this.config.self.region) return;
    const additions = getAdditions(this.config, this.members.values());
    this.set({orders: this.config.getOrders(additions)});
  }

  /** Replaces fields of a member and passes the change on. */
  changeMember(id: string, changes: Partial<Member>): void {
    const old = this.members.get(id);
    if (!old) return;
    const hasStatus =
      changes.status !== undefined && changes.status !== old.status;
    const statusAt = hasStatus ? this.now : old.statusAt;
    const member = {...old, ...changes, statusAt};
    this.members.set(id, member);
    this.queueUpdate(createUpdate(member));
  }

  /** Passes an update on with the next messages. */
  queueUpdate(update: MemberUpdate): void {
    const sendsLeft =
      SENDS_FACTOR * Math.ceil(Math.log2(this.members.size + 2));
    this.updates.set(update.id, {update, sendsLeft});
  }

  /** Applies what another instance believes of a member. */
  applyUpdate(update: MemberUpdate): void {
    if (update.id === this.config.self.id) {
      this.refute(update);
      return;
    }
    const old = this.members.get(update.id);
    if (!old || !isNewer(update, old)) return;
    const isSame = old.incarnation === update.incarnation;
    this.changeMember(update.id, {
      incarnation: update.incarnation,
      refutation: update.refutation,
      status: update.status,
      phase: update.phase,
      isLeaving: update.isLeaving || (isSame && old.isLeaving),
      seenAt: isSame ? old.seenAt : this.now,
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
    const isAccused =
      update.status === MemberStatus.Suspected ||
      update.status === MemberStatus.Removed;
    if (
      !isAccused ||
      update.incarnation !== this.config.ownership.incarnation ||
      update.refutation < refutation
    ) {
      return;
    }
    this.set({refutation: update.refutation + 1});
    this.queueSelf();
  }

  /** Passes on the state of this instance. */
  queueSelf(): void {
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
 * Creates the update that tells what is believed of a member.
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
  const isWorse =
    STATUS_RANK.indexOf(update.status) > STATUS_RANK.indexOf(old.status);
  return (
    isWorse ||
    (update.isLeaving && !old.isLeaving) ||
    PHASE_RANK.indexOf(update.phase) > PHASE_RANK.indexOf(old.phase)
  );
}
