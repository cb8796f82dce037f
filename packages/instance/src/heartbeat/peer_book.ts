import type {TimerService} from '@primrosestage/common';
import {
  getServiceKey,
  KEY_EPOCH_MS,
  Liveness,
  type Member,
  MemberStatus,
  type Service,
} from '@primrosestage/steering';
import type {FreeSlotsReport} from '../routing/index.js';
import {
  type HeartbeatPayload,
  HEARTBEAT_PAYLOAD_SCHEMA,
} from './heartbeat_payload.js';

/** Configures the book. */
export interface PeerBookOptions {
  selfId: string;
  timers: TimerService;
  /** Gets the other members. */
  getMembers(): readonly Member[];
  /** Handles the digest of a peer's documents. */
  handleDigest(peerId: string, digest: string): void;
}

interface Entry {
  payload: HeartbeatPayload;
  receivedAt: number;
}

/** Holds what the heartbeats of other instances told about them. */
export class PeerBook {
  private readonly entries = new Map<string, Entry>();

  constructor(private readonly options: PeerBookOptions) {}

  /**
   * Records the payload of a heartbeat; one that is not valid is ignored.
   * @param peerId - The sender.
   * @param value - The payload.
   */
  receive(peerId: string, value: unknown): void {
    const {timers, handleDigest} = this.options;
    const {data: payload} = HEARTBEAT_PAYLOAD_SCHEMA.safeParse(value);
    if (!payload) return;
    this.entries.set(peerId, {payload, receivedAt: timers.now()});
    handleDigest(peerId, payload.digest);
  }

  /** Gets what is believed of an instance; one that was never heard of counts as live. */
  getLiveness(instanceId: string): Liveness {
    const member = this.getMember(instanceId);
    if (!member) return Liveness.Live;
    if (member.status === MemberStatus.Gone) return Liveness.Gone;
    if (member.isLeaving) return Liveness.Leaving;
    return member.status === MemberStatus.Alive
      ? Liveness.Live
      : Liveness.Suspected;
  }

  /** Gets the free slots that an instance reported in its last heartbeat. */
  getReportedFree(
    instanceId: string,
    service: Service,
  ): FreeSlotsReport | undefined {
    const entry = this.entries.get(instanceId);
    const freeSlots = entry?.payload.freeSlots[getServiceKey(service)];
    if (!entry || freeSlots === undefined) return undefined;
    return {freeSlots, ageMs: this.options.timers.now() - entry.receivedAt};
  }

  /** Gets the start time of an instance, or undefined where it was never heard of. */
  getIncarnation(instanceId: string): number | undefined {
    return this.getMember(instanceId)?.incarnation || undefined;
  }

  /**
   * Gets the prefix of an instance's idempotency keys. Without a heartbeat of its own it follows
   * from the incarnation that other members passed on, one epoch back because clocks differ.
   * @param instanceId - The instance.
   * @returns The prefix, or undefined where the instance was never heard of.
   */
  getKeyPrefix(instanceId: string): string | undefined {
    const incarnation = this.getIncarnation(instanceId);
    if (incarnation === undefined) return undefined;
    const prefix = `${instanceId}.${incarnation}.`;
    const reported = this.entries.get(instanceId)?.payload.keyPrefix;
    if (reported?.startsWith(prefix)) return reported;
    const ageMs = this.options.timers.wallNow() - incarnation;
    return `${prefix}${Math.max(0, Math.floor(ageMs / KEY_EPOCH_MS) - 1)}`;
  }

  private getMember(instanceId: string): Member | undefined {
    return this.options.getMembers().find(({info}) => info.id === instanceId);
  }
}
