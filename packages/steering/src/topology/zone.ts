/** Describes an availability zone. */
export interface Zone {
  name: string;
  region: string;
}
