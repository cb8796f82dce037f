/** Identifies what an instance does with a relayed request. */
export enum InstanceRole {
  /** Admits it to an endpoint that the instance owns. */
  Owner = 'owner',
  /** Stores the record of its idempotency key. */
  Home = 'home',
}
