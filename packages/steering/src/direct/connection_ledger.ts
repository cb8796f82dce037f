/** A connection that is to be closed, and why. */
export interface ConnectionVictim<T> {
  connection: T;
  reason: CloseReason;
}

/** Why a connection is closed. */
export enum CloseReason {
  /** Its listener had too many connections, and it had been idle longest. */
  Idle = 'idle',
  /** Its listener had too many connections, and most were from its address. */
  Address = 'address',
  /** It had the most requests while too many refused ones awaited their turn. */
  Requests = 'requests',
  /** It had the most requests of too many connections that were not read; these are answered. */
  Paused = 'paused',
  /** Its caller did not read its responses. */
  Unread = 'unread',
}

/**
 * Keeps the connections of one listener in the order in which they became idle or active, and
 * selects the one to close when there are too many.
 */
export class ConnectionLedger<T> {
  private readonly idle = new Map<T, string>();
  private readonly active = new Map<T, string>();

  /** The number of connections. */
  get size(): number {
    return this.idle.size + this.active.size;
  }

  /**
   * Adds an idle connection.
   * @param connection - The connection.
   * @param address - Address of the caller, without a port.
   */
  add(connection: T, address: string): void {
    this.idle.set(connection, address);
  }

  /** Removes a connection. */
  remove(connection: T): void {
    this.idle.delete(connection);
    this.active.delete(connection);
  }

  /** Records that a connection has a request in progress. */
  markActive(connection: T): void {
    move(connection, this.idle, this.active);
  }

  /** Records that a connection has no request in progress any more. */
  markIdle(connection: T): void {
    move(connection, this.active, this.idle);
  }

  /**
   * Selects the connection to close so that another one can be accepted: the one that has been idle
   * longest, or else the one that has been active longest of the address with most connections.
   * @returns The connection, or undefined if there is none.
   */
  selectVictim(): ConnectionVictim<T> | undefined {
    const [longestIdle] = this.idle.keys();
    if (longestIdle !== undefined) {
      return {connection: longestIdle, reason: CloseReason.Idle};
    }
    const counts = new Map<string, number>();
    for (const address of this.active.values()) {
      counts.set(address, (counts.get(address) ?? 0) + 1);
    }
    const most = Math.max(...counts.values());
    for (const [connection, address] of this.active) {
      if (counts.get(address) === most) {
        return {connection, reason: CloseReason.Address};
      }
    }
    return undefined;
  }
}

function move<T>(key: T, from: Map<T, string>, to: Map<T, string>): void {
  const address = from.get(key);
  if (address === undefined) return;
  from.delete(key);
  to.set(key, address);
}
