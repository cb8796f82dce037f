/** Describes one backend server process of a service. */
export interface Endpoint {
  id: string;
  team: string;
  service: string;
  zone: string;
  region: string;
  /** `host:port` of its HTTP listener. */
  address: string;
  /** Requests that it runs at a time. */
  slots: number;
  /** Connections that it accepts. */
  maxConnections: number;
}
