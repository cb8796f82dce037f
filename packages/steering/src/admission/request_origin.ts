/** Says where a request entered the system, relative to the owner; also its rank when slots are short. */
export enum RequestOrigin {
  SameZone = 'same-zone',
  SameRegion = 'same-region',
  OtherRegion = 'other-region',
}
