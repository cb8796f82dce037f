import {type TeamDocument, TEAM_DOCUMENT_SCHEMA} from './team_document.js';

/** Prefix of the keys of team documents in the store. */
export const TEAM_KEY_PREFIX = 'teams/';

/**
 * Parses a team document from the store or from a peer.
 * @param value - The value as parsed JSON.
 * @returns The document, or undefined if it is not valid.
 */
export function parseTeamDocument(value: unknown): TeamDocument | undefined {
  const result = TEAM_DOCUMENT_SCHEMA.safeParse(value);
  if (!result.success) return undefined;
  const document = result.data;
  return Object.hasOwn(document.presets, document.active)
    ? document
    : undefined;
}
