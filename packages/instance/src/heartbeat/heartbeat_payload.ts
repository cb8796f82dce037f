import {z} from 'zod';

/** Schema of the heartbeat payload, which serves tasks other than membership. */
export const HEARTBEAT_PAYLOAD_SCHEMA = z.object({
  /** Prefix of the idempotency keys whose home instance is the sender. */
  keyPrefix: z.string(),
  /** Digest of the team documents in force at the sender. */
  digest: z.string(),
  /** Free slots at the sender, by service key. */
  freeSlots: z.record(z.string(), z.number().int()),
});

/** Heartbeat payload, which serves tasks other than membership. */
export type HeartbeatPayload = z.infer<typeof HEARTBEAT_PAYLOAD_SCHEMA>;
