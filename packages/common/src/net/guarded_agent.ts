import http from 'node:http';
import type {Duplex} from 'node:stream';

/** Events after which an idle connection is not reused. */
const IDLE_END_EVENTS = ['data', 'end', 'timeout'] as const;

/**
 * Pools connections and closes an idle one on which data arrives. Such data belongs to no request;
 * it would be parsed as the response to the next request on the connection. Node.js takes a closed
 * connection out of its pool some event loop iterations later, and could reuse it until then, so
 * that each idle one is taken out when it is closed.
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
    for (const event of IDLE_END_EVENTS) socket.on(event, discardSocket);
    socket.resume();
    return true;
  }

  /**
   * Prepares a pooled connection for a request.
   * @param socket - The connection.
   * @param req - The request that reuses it.
   */
  override reuseSocket(socket: Duplex, req: http.ClientRequest): void {
    for (const event of IDLE_END_EVENTS) socket.off(event, discardSocket);
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

  /**
   * Closes an idle connection and takes it out of the pool.
   * @param socket - The connection.
   */
  protected discard(socket: Duplex): void {
    discardSocket.call(socket);
  }
}

function discardSocket(this: Duplex): void {
  this.destroy();
  this.emit('agentRemove');
}
