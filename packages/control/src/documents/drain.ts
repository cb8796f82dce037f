/** Names what a drain takes out of service. */
export enum DrainKind {
  Instance = 'instance',
  Endpoint = 'endpoint',
  Zone = 'zone',
  Region = 'region',
}

/** Takes one part out of service until it is removed. */
export interface Drain {
  kind: DrainKind;
  /** Id or name of the part. */
  target: string;
}
