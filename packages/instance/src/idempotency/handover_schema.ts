import {KeyState} from '@primrosestage/steering';
import {z} from 'zod';

const RECORD_SCHEMA = z.strictObject({
  id: z.string(),
  state: z.enum(KeyState),
  epoch: z.number().int(),
  fingerprint: z.string(),
  answer: z
    .strictObject({
      status: z.number().int(),
      headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
      /** Base64; absent if the body was too long to record. */
      body: z.string().optional(),
    })
    .optional(),
});

/** Validates one message of a handover of key records. */
export const HANDOVER_SCHEMA = z.strictObject({
  home: z.string(),
  incarnation: z.number().int(),
  /** Time since the start of the home's epoch 0, in milliseconds. */
  ageMs: z.number(),
  lastEpoch: z.number().int(),
  /** Index of the message, from 0; message 0 restarts the handover. */
  part: z.number().int().min(0),
  isLast: z.boolean(),
  records: z.array(RECORD_SCHEMA),
});

/** Holds one message of a handover. */
export type HandoverMessage = z.infer<typeof HANDOVER_SCHEMA>;
