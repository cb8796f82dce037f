/** Holds the host and port of an address. */
export interface HostPort {
  host: string;
  port: number;
}

/**
 * Splits an address into host and port.
 * @param address - `host:port`, already validated with the settings.
 * @returns Its host and port.
 */
export function parseAddress(address: string): HostPort {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}
