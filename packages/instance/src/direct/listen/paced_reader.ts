import type {Socket} from 'node:net';

/**
 * Most bytes that are parsed before the requests of a connection are counted again. Node.js reads up
 * to 64 KiB at once and parses all requests in them, which can be 2,600.
 */
const PARSE_BYTES = 512;
/**
 * The same while a body is received, which 2 KiB at a time would make slow. Requests that follow the
 * body in the same part are at most those of one read of Node.js.
 */
const PARSE_BODY_BYTES = 64 * 1024;
/**
 * Bytes that wait to be parsed above which the connection is not read. Up to there it is read, so that
 * the end of the connection is noticed.
 */
const MAX_PENDING_BYTES = 64 * 1024;

/**
 * Passes what a caller sends to the HTTP parser in small parts, and stops reading from the
 * connection when no further request is wanted.
 */
export class PacedReader {
  private pending?: Buffer;
  private isHeld = false;
  private isParsing = false;
  private isDiscarding = false;
  /** Whether this reader has paused the connection; Node.js does so too, for its own reasons. */
  private hasPaused = false;
  private readonly parsers: ReturnType<Socket['listeners']>;

  /**
   * Takes the place of the parser as the reader of a connection.
   * @param socket - A connection that an HTTP server has just accepted.
   * @param mayRead - Returns whether a further request is wanted.
   * @param isReceivingBody - Returns whether the body of a request has not arrived whole.
   * @param handleChange - Called when reading has stopped or goes on.
   */
  constructor(
    private readonly socket: Socket,
    private readonly mayRead: () => boolean,
    private readonly isReceivingBody: () => boolean,
    private readonly handleChange: () => void,
  ) {
    this.parsers = socket.listeners('data');
    socket.removeAllListeners('data');
    socket.on('data', (chunk: Buffer) => this.receive(chunk));
    socket.on('resume', () => this.handleResume());
  }

  /** Whether reading has stopped because no further request is wanted. */
  get isStopped(): boolean {
    return this.isHeld;
  }

  /** Stops or resumes reading, as wanted. */
  update(): void {
    const isHeld = !this.mayRead();
    if (isHeld === this.isHeld) return;
    this.isHeld = isHeld;
    this.handleChange();
    if (isHeld) this.pauseIfFull();
    else if (this.hasPaused) {
      this.hasPaused = false;
      this.socket.resume();
    } else this.parse();
  }

  /**
   * Drops what has not been parsed and what arrives from now on. The connection is still read, so
   * that its end is noticed.
   */
  discard(): void {
    this.isDiscarding = true;
    this.pending = undefined;
    if (!this.hasPaused) return;
    this.hasPaused = false;
    this.socket.resume();
  }

  private pauseIfFull(): void {
    const {length = 0} = this.pending ?? {};
    if (length >= MAX_PENDING_BYTES) this.pause();
  }

  private pause(): void {
    if (this.socket.isPaused()) return;
    this.hasPaused = true;
    this.socket.pause();
  }

  private receive(chunk: Buffer): void {
    if (this.isDiscarding) return;
    this.pending = this.pending ? Buffer.concat([this.pending, chunk]) : chunk;
    if (this.isHeld) this.pauseIfFull();
    else this.parse();
  }

  /** Node.js resumes a connection to read a body or after it has sent responses. */
  private handleResume(): void {
    if (this.isHeld) this.pauseIfFull();
    else this.parse();
  }

  private parse(): void {
    // The end of a response may allow further requests while the parser is running.
    if (this.isParsing) return;
    this.isParsing = true;
    try {
      this.parsePending();
    } finally {
      this.isParsing = false;
    }
  }

  private parsePending(): void {
    const {socket} = this;
    while (this.pending && !socket.destroyed) {
      if (this.isHeld || socket.isPaused()) return;
      const {pending} = this;
      const bytes = this.isReceivingBody() ? PARSE_BODY_BYTES : PARSE_BYTES;
      this.pending =
        pending.length > bytes ? pending.subarray(bytes) : undefined;
      const part = pending.subarray(0, bytes);
      for (const parser of this.parsers) parser.call(socket, part);
      this.update();
    }
  }
}
