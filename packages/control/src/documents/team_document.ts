import {z} from 'zod';
import {DrainKind} from './drain.js';
import {PRESET_SCHEMA} from './preset.js';

/** Checks the document that the store holds for a team. */
export const TEAM_DOCUMENT_SCHEMA = z.strictObject({
  revision: z.number().int().min(1),
  /** Name of the preset in force. */
  active: z.string(),
  presets: z.record(z.string(), PRESET_SCHEMA),
  drains: z.array(
    z.strictObject({kind: z.enum(DrainKind), target: z.string()}),
  ),
  /** The latest change identifiers with the revision that each change created, oldest first. */
  changes: z.array(
    z.strictObject({id: z.string(), revision: z.number().int()}),
  ),
});

/** Holds a team's presets, the name of the preset in force, and drains. */
export type TeamDocument = z.infer<typeof TEAM_DOCUMENT_SCHEMA>;
