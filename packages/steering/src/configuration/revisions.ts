import type {Hash64} from '../ownership/index.js';
import type {
  ConfigurationState,
  RevisionedDocument,
} from './reduce_configuration.js';

/** Maps each known team to the revision in force. */
export type Revisions = Readonly<Record<string, number>>;

/**
 * Gets the revisions in force.
 * @param state - The documents in force.
 * @returns Revision by team.
 */
export function getRevisions<D extends RevisionedDocument>(
  state: ConfigurationState<D>,
): Revisions {
  return Object.fromEntries(
    [...state].map(([team, {document}]) => [team, document.revision]),
  );
}

/**
 * Computes the digest that heartbeats carry.
 * @param revisions - Revisions in force.
 * @param hash - Hash that is the same on every instance.
 * @returns 16 hexadecimal digits; equal if and only if all revisions are equal, barring hash collisions.
 */
export function computeDigest(revisions: Revisions, hash: Hash64): string {
  const text = Object.keys(revisions)
    .sort()
    .map(team => `${team}=${revisions[team]}`)
    .join(',');
  return hash(text).toString(16).padStart(16, '0');
}

/**
 * Finds the teams whose documents one instance sends to another.
 * @param own - Revisions of the instance that answers a pull.
 * @param other - Revisions of the instance that pulls.
 * @returns Teams whose own revision is higher or that the other instance does not know.
 */
export function findNewerTeams(own: Revisions, other: Revisions): string[] {
  return Object.keys(own).filter(team => (own[team] ?? 0) > (other[team] ?? 0));
}
