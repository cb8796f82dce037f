import type {Socket} from 'node:net';
import {MAX_DROPPED_BYTES} from '../../http/lingering_close.js';
import {countLines} from './count_lines.js';
import type {BodySchedule} from './body_schedule.js';

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
/** Fewest bytes of a body that are parsed at once, however much time they take. */
const MIN_PARSE_BODY_BYTES = 1024;
/**
 * Bytes of a body in chunks for each line above which its parts are as short as possible: it may be
 * trailers, of which each part is counted after it has been parsed.
 */
const DENSE_LINE_BYTES = 64;
/** Time of parsing a part of a body above which the next part is shorter, in milliseconds. */
const SLOW_PART_MS = 2;
/**
 * Bytes that wait to be parsed above which the connection is not read. Up to there it is read, so that
 * the end of the connection is noticed.
 */
const MAX_PENDING_BYTES = 64 * 1024;

/** What a reader needs of its connection and of all others. */
export interface PacedReaderOptions {
  /** Returns whether a further request is wanted. */
  mayRead: () => boolean;
  /** Returns whether the body of a request has not arrived whole. */
  isReceivingBody: () => boolean;
  /** Called when reading has stopped or goes on. */
  handleChange: () => void;
  /** Called with the number of bytes that have been read. */
  handleRead: (bytes: number) => void;
  /** Returns whether that body is sent in chunks. */
  isReceivingChunks: () => boolean;
  /** Called with each part that has been parsed; it may end with the begin of the next head. */
  handleParsed: (part: Buffer) => void;
  /** Called with the change of the number of bytes that wait to be parsed. */
  handlePending: (bytes: number) => void;
  /** The time for parsing the bodies of all connections. */
  schedule: BodySchedule;
}

/**
 * Passes what a caller sends to the HTTP parser in small parts, and stops reading from the
 * connection when no further request is wanted.
 */
export class PacedReader {
  private pending?: Buffer;
  private isHeld = false;
  private isParsing = false;
  private isDiscarding = false;
  private isAbandoned = false;
  /** Bytes that may still be read and dropped. */
  private droppableBytes = Infinity;
  private bodyPartBytes = PARSE_BODY_BYTES;
  /** Whether this reader has paused the connection; Node.js does so too, for its own reasons. */
  private hasPaused = false;
  private readonly parsers: ReturnType<Socket['listeners']>;
  private readonly takeTurn = () => {
    if (!this.isHeld) this.resume();
    this.parse();
  };

  /**
   * Takes the place of the parser as the reader of a connection.
   * @param socket - A connection that an HTTP server has just accepted.
   * @param options - Its connection and the time that all share.
   */
  constructor(
    private readonly socket: Socket,
    private readonly options: PacedReaderOptions,
  ) {
    this.parsers = socket.listeners('data');
    socket.removeAllListeners('data');
    socket.on('data', (chunk: Buffer) => this.receive(chunk));
    socket.on('resume', () => this.handleResume());
    socket.once('close', () => this.dropPending());
  }

  /** Whether reading has stopped because no further request is wanted. */
  get isStopped(): boolean {
    return this.isHeld;
  }

  /** Stops or resumes reading, as wanted. */
  update(): void {
    const isHeld = !this.options.mayRead();
    if (isHeld === this.isHeld) return;
    this.isHeld = isHeld;
    this.options.handleChange();
    if (isHeld) this.pauseIfFull();
    else if (this.hasPaused) this.resume();
    else this.parse();
  }

  /**
   * Drops what has not been parsed and what arrives from now on. The connection is still read, so
   * that its end is noticed.
   */
  discard(): void {
    this.isDiscarding = true;
    this.dropPending();
    this.resume();
  }

  /**
   * Drops what has not been parsed and what arrives until the caller closes the connection. A caller
   * that goes on sending is not read to its end.
   */
  discardRest(): void {
    this.isAbandoned = false;
    this.isDiscarding = true;
    this.droppableBytes = MAX_DROPPED_BYTES;
    this.dropPending();
    this.hasPaused = false;
    this.socket.resume();
  }

  /** Drops what has not been parsed and reads nothing more, not even the end of the connection. */
  abandon(): void {
    this.isAbandoned = true;
    this.dropPending();
    this.socket.pause();
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

  private resume(): void {
    if (!this.hasPaused) return;
    this.hasPaused = false;
    this.socket.resume();
  }

  private receive(chunk: Buffer): void {
    this.options.handleRead(chunk.length);
    if (this.isDiscarding) {
      this.droppableBytes -= chunk.length;
      if (this.droppableBytes < 0) this.abandon();
    }
    if (this.isDiscarding || this.isAbandoned) return;
    this.setPending(
      this.pending ? Buffer.concat([this.pending, chunk]) : chunk,
    );
    if (this.isHeld) this.pauseIfFull();
    else this.parse();
  }

  private setPending(pending: Buffer | undefined): void {
    const change = (pending?.length ?? 0) - (this.pending?.length ?? 0);
    this.pending = pending;
    this.options.handlePending(change);
  }

  private dropPending(): void {
    this.setPending(undefined);
    this.options.schedule.remove(this.takeTurn);
  }

  /** Node.js resumes a connection to read a body or after it has sent responses. */
  private handleResume(): void {
    if (this.isAbandoned) this.socket.pause();
    else if (this.isHeld) this.pauseIfFull();
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
    const {socket, options} = this;
    while (this.pending && !socket.destroyed) {
      if (this.isHeld || socket.isPaused()) return;
      if (!options.isReceivingBody()) this.parsePart(PARSE_BYTES);
      else if (options.schedule.hasTime) this.parseBodyPart();
      else {
        // What has been read already waits, and nothing more is read meanwhile.
        this.pause();
        options.schedule.wait(this.takeTurn);
        return;
      }
      this.update();
    }
  }

  /** Parses a part of a body; a part is shorter the more time its bytes take. */
  private parseBodyPart(): void {
    const bytes = this.getBodyPartBytes();
    const ms = this.options.schedule.measure(() => this.parsePart(bytes));
    this.bodyPartBytes =
      ms > SLOW_PART_MS
        ? Math.max(MIN_PARSE_BODY_BYTES, bytes / 2)
        : Math.min(PARSE_BODY_BYTES, bytes * 2);
  }

  private getBodyPartBytes(): number {
    const {bodyPartBytes, pending} = this;
    if (!pending || !this.options.isReceivingChunks()) return bodyPartBytes;
    const part = pending.subarray(0, bodyPartBytes);
    const isDense = countLines(part) * DENSE_LINE_BYTES > part.length;
    return isDense ? MIN_PARSE_BODY_BYTES : bodyPartBytes;
  }

  private parsePart(bytes: number): void {
    const {pending, socket} = this;
    if (!pending) return;
    this.setPending(
      pending.length > bytes ? pending.subarray(bytes) : undefined,
    );
    const part = pending.subarray(0, bytes);
    for (const parser of this.parsers) parser.call(socket, part);
    if (!this.isDiscarding && !this.isAbandoned) {
      this.options.handleParsed(part);
    }
  }
}
