/** Describes one instance; addresses are `host:port`. */
export interface InstanceInfo {
  id: string;
  zone: string;
  region: string;
  publicAddress: string;
  internalAddress: string;
  adminAddress: string;
}
