import {TEAM_DOCUMENT_SCHEMA} from '@primrosestage/control';
import {z} from 'zod';

/** Schema of a team document sent between instances. */
const TEAM_UPDATE_SCHEMA = z.object({
  team: z.string(),
  /** The document without its change identifiers, which are kept out to keep pushes small. */
  document: TEAM_DOCUMENT_SCHEMA,
});

/** Schema of a push through the dissemination tree. */
export const PUSH_SCHEMA = TEAM_UPDATE_SCHEMA.extend({
  /** Ids of the instances in the receiver's subtree, which it forwards the document to. */
  rest: z.array(z.string()),
});

/** Schema of a pull request. */
export const PULL_SCHEMA = z.object({
  /** Revisions in force at the requesting instance, by team. */
  revisions: z.record(z.string(), z.number().int()),
});

/** Schema of the response to a pull. */
export const PULL_RESPONSE_SCHEMA = z.array(TEAM_UPDATE_SCHEMA);

/** A team document sent between instances. */
export type TeamUpdate = z.infer<typeof TEAM_UPDATE_SCHEMA>;

/** A push through the dissemination tree. */
export type PushMessage = z.infer<typeof PUSH_SCHEMA>;

/** A pull request. */
export type PullMessage = z.infer<typeof PULL_SCHEMA>;
