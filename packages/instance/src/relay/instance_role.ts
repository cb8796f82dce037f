/** Says what an instance is asked to do with a relayed request. */
export enum InstanceRole {
  /** Admit it to an endpoint that it owns. */
  Owner = 'owner',
  /** Keep the record of its idempotency key. */
  Home = 'home',
}
