/** Identifies the entry of a request relative to the owner; nearer origins are admitted first. */
export enum RequestOrigin {
  SameZone = 'same-zone',
  SameRegion = 'same-region',
  OtherRegion = 'other-region',
}
