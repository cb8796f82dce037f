import type {Duplex} from 'node:stream';
import {CarriedIds} from '@primrosestage/steering';

/**
 * Records which requests each connection has carried. A peer may repeat the refusal of a request on
 * the connection that carried it. The copy has the id of the request, so that it would pass for the
 * refusal of a later sending under the same id. An id therefore goes out on a connection once.
 */
export class CarriedRequests {
  private readonly idsByConnection = new WeakMap<Duplex, CarriedIds>();

  /**
   * Records that a connection is to carry a request, unless it must not.
   * @param connection - The connection.
   * @param requestId - Id of the request; undefined for a probe.
   * @returns False if the connection has carried the id, may carry no further ids or has unread data;
   *   always true for a new connection.
   */
  tryAdd(connection: Duplex, requestId: string | undefined): boolean {
    const known = this.idsByConnection.get(connection);
    if (known && connection.readableLength > 0) return false;
    const ids = known ?? new CarriedIds();
    this.idsByConnection.set(connection, ids);
    if (requestId === undefined) return true;
    if (ids.isFull || ids.has(requestId)) return false;
    ids.add(requestId);
    return true;
  }

  /**
   * Returns whether a connection has been given a request.
   * @param connection - The connection.
   */
  isUsed(connection: Duplex): boolean {
    return this.idsByConnection.has(connection);
  }

  /**
   * Returns whether a connection may carry further requests.
   * @param connection - The connection.
   */
  hasRoom(connection: Duplex): boolean {
    return this.idsByConnection.get(connection)?.isFull !== true;
  }
}
