import type {Logger, TimerService} from '@primrosestage/common';
import {getServiceKey, type Service} from '@primrosestage/steering';
import {z} from 'zod';

/** Checks what other tasks tell their peers in heartbeats. */
export const HEARTBEAT_PAYLOAD_SCHEMA = z.object({
  /** Prefix of the idempotency keys whose home is the sender; holds its key epoch. */
  keyPrefix: z.string(),
  /** Free slots by service key. */
  freeSlots: z.record(z.string(), z.number()),
});

/** Holds what other tasks tell their peers in heartbeats. */
export type HeartbeatPayload = z.infer<typeof HEARTBEAT_PAYLOAD_SCHEMA>;

interface Entry {
  readonly payload: HeartbeatPayload;
  readonly receivedAt: number;
}

/** Keeps the last payload of each peer. */
export class PeerPayloads {
  private readonly entries = new Map<string, Entry>();

  constructor(
    private readonly timers: TimerService,
    private readonly logger: Logger,
  ) {}

  /**
   * Takes the payload of a peer; one that is not valid is logged and ignored.
   * @param peerId - Id of the sender.
   * @param payload - The payload as received.
   */
  receive(peerId: string, payload: unknown): void {
    const parsed = HEARTBEAT_PAYLOAD_SCHEMA.safeParse(payload);
    if (!parsed.success) {
      this.logger.warn('heartbeat payload not valid', {peer: peerId});
      return;
    }
    const receivedAt = this.timers.now();
    this.entries.set(peerId, {payload: parsed.data, receivedAt});
  }

  /** Gets the key prefix of a peer, or undefined where none was received. */
  getKeyPrefix(peerId: string): string | undefined {
    return this.entries.get(peerId)?.payload.keyPrefix;
  }

  /** Gets the free slots of a service at a peer with the age of the report. */
  getFreeSlots(
    peerId: string,
    service: Service,
  ): {freeSlots: number; ageMs: number} | undefined {
    const entry = this.entries.get(peerId);
    const freeSlots = entry?.payload.freeSlots[getServiceKey(service)];
    if (!entry || freeSlots === undefined) return undefined;
    return {freeSlots, ageMs: this.timers.now() - entry.receivedAt};
  }
}
