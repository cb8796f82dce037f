import {z} from 'zod';

/** Checks what heartbeats carry for the tasks beside membership. */
export const HEARTBEAT_PAYLOAD_SCHEMA = z.object({
  /** Prefix of the idempotency keys whose home is the sender. */
  keyPrefix: z.string(),
  /** Digest of the team documents in force at the sender. */
  digest: z.string(),
  /** Free slots at the sender, by service key. */
  freeSlots: z.record(z.string(), z.number().int()),
});

/** Holds what heartbeats carry for the tasks beside membership. */
export type HeartbeatPayload = z.infer<typeof HEARTBEAT_PAYLOAD_SCHEMA>;
