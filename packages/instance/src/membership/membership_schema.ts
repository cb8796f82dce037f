import {MemberStatus, Phase} from '@primrosestage/steering';
import {z} from 'zod';

const INSTANCE_INFO_SCHEMA = z.object({
  id: z.string(),
  zone: z.string(),
  region: z.string(),
  publicAddress: z.string(),
  internalAddress: z.string(),
  adminAddress: z.string(),
});

const STAMP_SCHEMA = z.object({incarnation: z.number(), at: z.number()});

/** Schema of a heartbeat, its acknowledgement or a goodbye. */
export const MESSAGE_SCHEMA = z.object({
  info: INSTANCE_INFO_SCHEMA.optional(),
  statement: z.object({
    id: z.string(),
    incarnation: z.number(),
    phase: z.enum(Phase),
    digest: z.string(),
    ageMs: z.number(),
    excess: z.record(z.string(), z.number()),
    additions: z.array(z.string()),
  }),
  refutation: z.number(),
  isLeaving: z.boolean(),
  stamp: STAMP_SCHEMA,
  echo: STAMP_SCHEMA.optional(),
  receiverIncarnation: z.number().optional(),
  uncleanMs: z.number(),
  updates: z.array(
    z.object({
      id: z.string(),
      incarnation: z.number(),
      refutation: z.number(),
      status: z.enum(MemberStatus),
      phase: z.enum(Phase),
      isLeaving: z.boolean(),
    }),
  ),
  goodbye: z.object({isClean: z.boolean()}).optional(),
});

/** Schema of a message with the payload of other tasks, which validate the payload themselves. */
export const ENVELOPE_SCHEMA = z.object({
  message: MESSAGE_SCHEMA,
  payload: z.unknown().optional(),
});

/** A message with the payload of other tasks. */
export type Envelope = z.infer<typeof ENVELOPE_SCHEMA>;
