import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ResponseReservation} from '../send/response_buffers.js';
import type {BodyReservation} from './body_buffers.js';
import type {CallerConnection} from './caller_connection.js';

/** A request on a connection that may carry others before and behind it. */
export class PipelinedRequest {
  isStarted = false;
  /** Whether it is refused, since too many requests are in progress. */
  isRefused = false;
  /** Memory of its header fields; undefined if there was none, so that it is refused. */
  headMemory?: Disposable;
  /** Memory of its body, once that is being received. */
  bodyMemory?: BodyReservation;
  /** Called when the rest of its body cannot be received for lack of memory. */
  handleBodyRefused?: () => void;
  /** Memory of its response, once that is being sent. */
  reservation?: ResponseReservation;
  /** Called when its response has ended or its connection is closed. */
  handleSettled?: () => void;

  /**
   * Creates the record of a request.
   * @param req - The request.
   * @param res - The response to it.
   * @param arrivedAt - Monotonic time of its arrival, in milliseconds.
   * @param connection - Its connection.
   */
  constructor(
    readonly req: IncomingMessage,
    readonly res: ServerResponse,
    readonly arrivedAt: number,
    private readonly connection: CallerConnection,
  ) {}

  /** The bytes of its body that have been received; a stated length counts from the begin. */
  get receivedBodyBytes(): number {
    return (this.bodyMemory?.bytes ?? 0) + this.req.readableLength;
  }

  /** Whether no request has been read behind it, so that its response may close the connection. */
  get isLast(): boolean {
    return this.connection.isLast(this);
  }

  /** Whether its response, which has been begun, closes the connection. */
  get closesConnection(): boolean {
    return this.res.headersSent && !this.res.shouldKeepAlive;
  }

  /** Reads no more of its body, and closes the connection behind its response. */
  abandonBody(): void {
    this.connection.abandonBody();
  }

  /** Releases what is held for it. */
  settle(): void {
    this.headMemory?.[Symbol.dispose]();
    this.reservation?.[Symbol.dispose]();
    this.handleSettled?.();
  }

  /** Counts the memory of the response until it has been sent. */
  holdResponse(reservation: ResponseReservation): void {
    this.reservation = reservation;
    this.connection.recordHeld(this);
  }
}
