import http from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {GuardedAgent, startHttpRequest} from '@primrosestage/common';
import {CarriedIds, MAX_CARRIED_IDS} from '@primrosestage/steering';

/** Longest time for which an idle connection to an endpoint stays open, in milliseconds. */
const MAX_IDLE_MS = 4_000;
/** Fraction of an endpoint's keep-alive timeout after which an idle connection is closed. */
const ADVERTISED_IDLE_FRACTION = 0.5;
const EMPTY_BUFFER = Buffer.alloc(0);
const KEEP_ALIVE_TIMEOUT = /(?:^|[\s,])timeout=(\d+)/i;

/** Describes the use of a connection by one request. */
export interface ConnectionUse {
  /** Number of the connection within this process. */
  readonly connection: number;
  /** How many requests the connection has carried with this one. */
  readonly connectionUses: number;
  /** How often the connection has carried the id of this request with this one. */
  readonly idUses: number;
}

/** What is known of an open connection. */
interface ConnectionRecord {
  readonly connection: number;
  readonly ids: CarriedIds;
  uses: number;
}

/** Describes a request for the pool. */
export interface PooledRequest extends http.RequestOptions {
  host: string;
  port: number;
}

/**
 * Pools connections to endpoints, which may advertise how long a connection may be idle. A request
 * id goes out on a connection once: an endpoint may write its response to the id a second time, and
 * this copy would be taken for the response to the request that is under way.
 */
export class EndpointAgent extends GuardedAgent {
  private readonly records = new WeakMap<Socket, ConnectionRecord>();
  private connectionCount = 0;
  private openConnections = 0;

  /**
   * Creates an empty pool.
   * @param maxCarriedIds - Most request ids that a connection carries before it is closed.
   * @param maxConnections - Number of connections above which none is kept idle.
   */
  constructor(
    private readonly maxCarriedIds = MAX_CARRIED_IDS,
    private readonly maxConnections = Infinity,
  ) {
    super({keepAlive: true, scheduling: 'lifo', maxFreeSockets: 64});
  }

  /**
   * Starts a request on a connection that has not carried its id, a new one if there is no other.
   * @param request - Describes the request.
   * @param requestId - Its id.
   */
  request(request: PooledRequest, requestId: string): http.ClientRequest {
    this.closeCarriers(this.getName(request), requestId);
    return startHttpRequest({...request, agent: this});
  }

  /**
   * Records a request that is sent on a connection.
   * @param socket - The connection.
   * @param requestId - Id of the request.
   */
  recordUse(socket: Socket, requestId: string): ConnectionUse {
    const record = this.getRecord(socket);
    record.uses++;
    return {
      connection: record.connection,
      connectionUses: record.uses,
      idUses: record.ids.add(requestId),
    };
  }

  /** Opens a connection that distinguishes a reset from an orderly close. */
  override createConnection(
    ...args: Parameters<http.Agent['createConnection']>
  ): ReturnType<http.Agent['createConnection']> {
    const socket = super.createConnection(...args);
    socket?.prependListener('end', handleEnd);
    this.openConnections++;
    socket?.once('close', () => this.openConnections--);
    return socket;
  }

  /**
   * Prepares a pooled connection for a request.
   * @param socket - The connection.
   * @param req - The request that reuses it.
   */
  override reuseSocket(socket: Socket, req: http.ClientRequest): void {
    socket.setTimeout(0);
    super.reuseSocket(socket, req);
  }

  protected override configureIdle(socket: Socket): boolean {
    if (this.openConnections > this.maxConnections) return false;
    const idleMs = getIdleTimeoutMs(socket);
    if (idleMs <= 0 || this.getRecord(socket).ids.isFull) return false;
    socket.setTimeout(idleMs);
    socket.unref();
    return true;
  }

  /**
   * Closes idle connections that have carried an id until the last one has not, which Node.js takes
   * for the next request.
   */
  private closeCarriers(name: string, requestId: string): void {
    const idle = this.freeSockets[name] ?? [];
    for (let i = idle.length - 1; i >= 0; i--) {
      const socket = idle[i];
      if (!socket || !this.getRecord(socket).ids.has(requestId)) return;
      this.discard(socket);
    }
  }

  private getRecord(socket: Socket): ConnectionRecord {
    const known = this.records.get(socket);
    if (known) return known;
    const connection = ++this.connectionCount;
    const ids = new CarriedIds(this.maxCarriedIds);
    const record = {connection, ids, uses: 0};
    this.records.set(socket, record);
    return record;
  }
}

/**
 * Returns whether a response was received completely. A response without a length ends with its
 * connection, which must have been closed without a reset.
 * @param response - A response that has been read to its end.
 */
export function isResponseComplete(response: http.IncomingMessage): boolean {
  const {socket} = response;
  if (!response.complete || socket?.errored) return false;
  return isSelfDelimited(response) || !endedBeforeRequest.has(socket);
}

/**
 * Returns whether a response has a length or chunks, so that its end does not depend on its
 * connection.
 * @param response - A response.
 */
export function isSelfDelimited({headers}: http.IncomingMessage): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}

/** Connections that ended while bytes of a request were still to be sent. */
const endedBeforeRequest = new WeakSet<Duplex>();

/**
 * Detects a reset that libuv reports as an end of stream, as it does if the reset arrives directly
 * after the last bytes: even an empty write then fails at once. Behind unsent bytes the write would
 * wait, so that nothing shows whether the end is a reset.
 */
function handleEnd(this: Duplex): void {
  if (this.writableLength > 0) endedBeforeRequest.add(this);
  else if (this.writable) this.write(EMPTY_BUFFER);
}

/** Reads the idle timeout from the last response; endpoints may close earlier than advertised. */
function getIdleTimeoutMs(socket: Socket): number {
  const {_httpMessage: req} = socket as Socket & {
    _httpMessage?: {res?: http.IncomingMessage};
  };
  const header = req?.res?.headers['keep-alive'];
  const advertised = KEEP_ALIVE_TIMEOUT.exec(String(header ?? ''))?.[1];
  if (advertised === undefined) return MAX_IDLE_MS;
  return Math.min(
    MAX_IDLE_MS,
    Number(advertised) * 1_000 * ADVERTISED_IDLE_FRACTION,
  );
}
