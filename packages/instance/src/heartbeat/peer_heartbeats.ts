import type {TimerService} from '@primrosestage/common';
import {
  getServiceKey,
  KEY_EPOCH_MS,
  type Service,
} from '@primrosestage/steering';
import type {FreeSlotsReport} from '../routing/index.js';
import {
  type HeartbeatPayload,
  HEARTBEAT_PAYLOAD_SCHEMA,
} from './heartbeat_payload.js';

/** Configures the book. */
export interface PeerHeartbeatsOptions {
  timers: TimerService;
  /** Gets the start time of an instance, or undefined where it was never heard of. */
  getIncarnation(instanceId: string): number | undefined;
  /** Handles the digest of a peer's documents. */
  handleDigest(peerId: string, digest: string): void;
}

interface ReceivedHeartbeat {
  payload: HeartbeatPayload;
  receivedAt: number;
}

/** Holds what the heartbeats of other instances told about them. */
export class PeerHeartbeats {
  private readonly heartbeats = new Map<string, ReceivedHeartbeat>();

  constructor(private readonly options: PeerHeartbeatsOptions) {}

  /**
   * Records the payload of a heartbeat; one that is not valid is ignored.
   * @param peerId - The sender.
   * @param value - The payload.
   */
  receive(peerId: string, value: unknown): void {
    const {timers, handleDigest} = this.options;
    const {data: payload} = HEARTBEAT_PAYLOAD_SCHEMA.safeParse(value);
    if (!payload) return;
    this.heartbeats.set(peerId, {payload, receivedAt: timers.now()});
    handleDigest(peerId, payload.digest);
  }

  /** Gets the free slots that an instance reported in its last heartbeat. */
  getReportedFreeSlots(
    instanceId: string,
    service: Service,
  ): FreeSlotsReport | undefined {
    const heartbeat = this.heartbeats.get(instanceId);
    const freeSlots = heartbeat?.payload.freeSlots[getServiceKey(service)];
    if (!heartbeat || freeSlots === undefined) return undefined;
    return {freeSlots, ageMs: this.options.timers.now() - heartbeat.receivedAt};
  }

  /**
   * Gets the prefix of an instance's idempotency keys. Without a heartbeat of its own it follows
   * from the incarnation that other members passed on, one epoch back because clocks differ.
   * @param instanceId - The instance.
   * @returns The prefix, or undefined where the instance was never heard of.
   */
  getKeyPrefix(instanceId: string): string | undefined {
    const incarnation = this.options.getIncarnation(instanceId);
    if (incarnation === undefined) return undefined;
    const prefix = `${instanceId}.${incarnation}.`;
    const reported = this.heartbeats.get(instanceId)?.payload.keyPrefix;
    if (reported?.startsWith(prefix)) return reported;
    const ageMs = this.options.timers.wallNow() - incarnation;
    return `${prefix}${Math.max(0, Math.floor(ageMs / KEY_EPOCH_MS) - 1)}`;
  }
}
