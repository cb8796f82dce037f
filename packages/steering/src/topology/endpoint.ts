/** Describes one backend server process of a service. */
export interface Endpoint {
  id: string;
  team: string;
  service: string;
  zone: string;
  region: string;
  /** `host:port` of its HTTP listener. */
  address: string;
  /** Maximum number of requests that it runs concurrently. */
  slots: number;
  /** Maximum number of connections that it accepts. */
  maxConnections: number;
}
