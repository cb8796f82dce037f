import {z} from 'zod';
import {DrainKind} from './drain.js';
import {PRESET_SCHEMA} from './preset.js';

/** Names what a change does. */
export enum ChangeKind {
  /** Creates or replaces a preset. */
  PutPreset = 'put-preset',
  /** Puts another preset in force. */
  Activate = 'activate',
  Drain = 'drain',
  Undrain = 'undrain',
}

/** Checks the name of a preset. */
export const PRESET_NAME_SCHEMA = z
  .string()
  .regex(
    /^[a-z0-9-]{1,64}$/,
    'a name of 1 to 64 lower-case letters, digits and hyphens',
  );

const DRAIN_SCHEMA = z.strictObject({
  kind: z.enum(DrainKind),
  target: z.string().min(1),
});

/** Checks what a change does. */
export const CHANGE_ACTION_SCHEMA = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal(ChangeKind.PutPreset),
    name: PRESET_NAME_SCHEMA,
    preset: PRESET_SCHEMA,
  }),
  z.strictObject({
    kind: z.literal(ChangeKind.Activate),
    name: PRESET_NAME_SCHEMA,
  }),
  z.strictObject({kind: z.literal(ChangeKind.Drain), drain: DRAIN_SCHEMA}),
  z.strictObject({kind: z.literal(ChangeKind.Undrain), drain: DRAIN_SCHEMA}),
]);

/** Says what a change does. */
export type ChangeAction = z.infer<typeof CHANGE_ACTION_SCHEMA>;

/** Checks the fields common to all changes. */
export const CHANGE_BASE_SCHEMA = z.strictObject({
  /** Revision that the operator based the change on. */
  basedOn: z.number().int().min(1),
  /** Identifier that a retry of the change reuses. */
  changeId: z.string().min(1).max(100),
});

/** Holds one operator's change to a team document. */
export interface DocumentChange extends z.infer<typeof CHANGE_BASE_SCHEMA> {
  action: ChangeAction;
}
