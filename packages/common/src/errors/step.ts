/** Names the step of a request or of a control-plane call at which an error occurred. */
export enum Step {
  Settings = 'settings',
  Lookup = 'lookup',
  Ingress = 'ingress',
  Relay = 'relay',
  Owner = 'owner',
  Backend = 'backend',
  Store = 'store',
  Membership = 'membership',
  Propagation = 'spread',
  Admin = 'admin',
  Shutdown = 'shutdown',
}
