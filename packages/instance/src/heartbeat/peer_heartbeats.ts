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

/** Configures the storage of heartbeat payloads. */
export interface PeerHeartbeatsOptions {
  timers: TimerService;
  /** Gets the start time of an instance, or undefined if the instance is unknown. */
  getIncarnation(instanceId: string): number | undefined;
  /** Handles the digest of a peer's team documents. */
  handleDigest(peerId: string, digest: string): void;
}

interface ReceivedHeartbeat {
  payload: HeartbeatPayload;
  receivedAt: number;
}

/** Stores the last heartbeat payload of each other instance. */
export class PeerHeartbeats {
  private readonly heartbeats = new Map<string, ReceivedHeartbeat>();

  constructor(private readonly options: PeerHeartbeatsOptions) {}

  /**
   * Records the payload of a heartbeat; an invalid payload is ignored.
   * @param peerId - Id of the sender.
   * @param value - The unvalidated payload.
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
   * Gets the prefix of an instance's idempotency keys. Without a heartbeat from the current
   * incarnation it is computed from the incarnation that other members report; the epoch is then
   * one lower, because clocks differ.
   * @param instanceId - Id of the instance.
   * @returns The prefix, or undefined if the instance is unknown.
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
