import http from 'node:http';
import type {Duplex} from 'node:stream';

/**
 * Pools connections and closes an idle one on which data arrives. Such data belongs to no request;
 * it would be parsed as the response to the next request on the connection.
 */
export class GuardedAgent extends http.Agent {
  /**
   * Decides whether a connection returns to the pool after a response.
   * @param socket - The connection.
   * @returns Whether the connection is kept alive.
   */
  override keepSocketAlive(socket: Duplex): boolean {
    if (socket.destroyed || socket.readableEnded) return false;
    if (socket.readableLength > 0 || !this.configureIdle(socket)) return false;
    socket.on('data', destroySocket);
    socket.resume();
    return true;
  }

  /**
   * Prepares a pooled connection for a request.
   * @param socket - The connection.
   * @param req - The request that reuses it.
   */
  override reuseSocket(socket: Duplex, req: http.ClientRequest): void {
    socket.off('data', destroySocket);
    super.reuseSocket(socket, req);
  }

  /**
   * Sets the idle timeout of a connection.
   * @param socket - The connection.
   * @returns Whether the connection may be idle at all.
   */
  protected configureIdle(socket: Duplex): boolean {
    // Declared as void in the types, but Node.js returns whether the connection may be kept.
    return super.keepSocketAlive(socket) as unknown as boolean;
  }
}

function destroySocket(this: Duplex): void {
  this.destroy();
}
