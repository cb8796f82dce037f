/** Names what a drain takes out of service. */
export enum DrainKind {
  Instance = 'instance',
  Endpoint = 'endpoint',
  Zone = 'zone',
  Region = 'region',
}

/** Takes an instance, endpoint, zone or region out of service until the drain is removed. */
export interface Drain {
  kind: DrainKind;
  /** Id or name of what is out of service. */
  target: string;
}
