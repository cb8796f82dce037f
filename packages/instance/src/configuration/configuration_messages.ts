import {TEAM_DOCUMENT_SCHEMA} from '@primrosestage/control';
import {z} from 'zod';

/** Checks a document on its way between instances. */
const TEAM_UPDATE_SCHEMA = z.object({
  team: z.string(),
  /** The document; its change identifiers stay in the store, which keeps pushes small. */
  document: TEAM_DOCUMENT_SCHEMA,
});

/** Checks a push through the dissemination tree. */
export const PUSH_SCHEMA = TEAM_UPDATE_SCHEMA.extend({
  /** Ids of the instances that the receiver forwards to. */
  rest: z.array(z.string()),
});

/** Checks a pull. */
export const PULL_SCHEMA = z.object({
  /** Revisions in force at the instance that pulls. */
  revisions: z.record(z.string(), z.number().int()),
});

/** Checks the answer to a pull. */
export const PULL_RESPONSE_SCHEMA = z.array(TEAM_UPDATE_SCHEMA);

/** Holds a team's document on its way between instances. */
export type TeamUpdate = z.infer<typeof TEAM_UPDATE_SCHEMA>;

/** Holds a push through the dissemination tree. */
export type PushMessage = z.infer<typeof PUSH_SCHEMA>;

/** Holds a pull. */
export type PullMessage = z.infer<typeof PULL_SCHEMA>;
