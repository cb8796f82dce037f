/** Holds the parts of an address. */
export interface HostPort {
  host: string;
  port: number;
}

/**
 * Splits an address.
 * @param address - `host:port`, checked by the settings.
 * @returns Its parts.
 */
export function parseAddress(address: string): HostPort {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}
