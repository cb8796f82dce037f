/**
 * Identifies where a request entered the system, relative to the owner. If slots are short, nearer
 * origins are admitted first among requests of equal priority.
 */
export enum RequestOrigin {
  SameZone = 'same-zone',
  SameRegion = 'same-region',
  OtherRegion = 'other-region',
}
