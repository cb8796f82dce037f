/**
 * Revisions of one era of the registry. An era ends when the registry returns from an older copy;
 * revisions that it had assigned after that copy are then assigned again.
 */
export const REVISIONS_PER_ERA = 2 ** 40;
/**
 * Last era that revisions can represent. Below 2^52, a number is exact to 0.5, which the view adds
 * to a revision to order what it concludes from a change behind that change.
 */
export const MAX_ERA = 2 ** 12 - 1;

/**
 * Combines an era and a revision of that era into one number that orders changes of all eras.
 * @param era - Number of the era, from 0 to `MAX_ERA`.
 * @param position - Revision within the era, below `REVISIONS_PER_ERA`.
 */
export function toRevision(era: number, position: number): number {
  return era * REVISIONS_PER_ERA + position;
}

/**
 * Returns the era of a revision.
 * @param revision - Combined revision.
 */
export function getEra(revision: number): number {
  return Math.floor(revision / REVISIONS_PER_ERA);
}

/**
 * Returns the revision within its era.
 * @param revision - Combined revision.
 */
export function getEraPosition(revision: number): number {
  return revision % REVISIONS_PER_ERA;
}
