import {write} from 'node:fs';
import type {TimerService} from '../time/index.js';
import type {EventLogger} from './event_logger.js';

/** Time for which lines are buffered before they are written, in milliseconds. */
const FLUSH_INTERVAL_MS = 100;
/** Delay before the next write after the reader of the log accepted no data, in milliseconds. */
const EAGAIN_RETRY_DELAY_MS = 200;
/** Maximum characters buffered while the reader is slow; further lines are dropped and counted. */
const MAX_PENDING_CHARS = 1_000_000;
/** Maximum bytes of a write; a pipe accepts up to this size atomically. */
const MAX_WRITE_BYTES = 4_096;
/** Maximum wait for the reader at the end of the process, in milliseconds. */
const DISPOSE_TIMEOUT_MS = 200;
const STDOUT = 1;

/** Writes bytes and reports how many were written, or why none were. */
export type WriteBytes = (
  bytes: Buffer,
  done: (err: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/** Configures a non-blocking logger. */
export interface LineLoggerOptions {
  timers: TimerService;
  /** Fields that every line carries, such as the instance id. */
  fields: Record<string, string>;
  /** Writes bytes as `fs.write` does; to standard output by default. */
  writeBytes?: WriteBytes;
}

/** Writes log lines in the background; disposal flushes the buffered ones. */
export interface LineLogger extends EventLogger, AsyncDisposable {
  /** Number of lines dropped because the reader was slow. */
  readonly droppedLines: number;
}

/**
 * Creates a logger that writes JSON lines in the background. Lines are buffered and written
 * outside the event loop, so that a reader that stops reading never blocks a request.
 * @param options - Clock, common fields and write function.
 */
export function createLineLogger(options: LineLoggerOptions): LineLogger {
  const writeBytes = options.writeBytes ?? writeToStdout;
  const commonFieldsJson = JSON.stringify(options.fields).slice(1, -1);
  let pendingLines: string[] = [];
  let pendingChars = 0;
  let isWriting = false;
  let isFlushScheduled = false;
  let droppedCount = 0;
  let reportedCount = 0;

  const flush = () => {
    isFlushScheduled = false;
    if (isWriting || pendingLines.length === 0) return;
    const text = pendingLines.join('');
    pendingLines = [];
    pendingChars = 0;
    isWriting = true;
    writeAll(Buffer.from(text), () => {
      isWriting = false;
      if (pendingLines.length > 0) scheduleFlush();
    });
  };
  const writeAll = (bytes: Buffer, done: () => void) => {
    const chunk = bytes.subarray(0, MAX_WRITE_BYTES);
    writeBytes(chunk, (err, written) => {
      if (err?.code === 'EAGAIN') {
        // An immediate retry would busy-loop and take the CPU from the requests.
        options.timers.after(EAGAIN_RETRY_DELAY_MS, () =>
          writeAll(bytes, done),
        );
      } else if (err || written >= bytes.length) {
        // A failed write loses its lines; there is no other output to report it to.
        done();
      } else {
        writeAll(bytes.subarray(written), done);
      }
    });
  };
  const scheduleFlush = () => {
    if (isFlushScheduled || isWriting) return;
    isFlushScheduled = true;
    options.timers.after(FLUSH_INTERVAL_MS, flush);
  };
  const log = (level: string, message: string, fields: object = {}) => {
    const unreportedCount = droppedCount - reportedCount;
    const line = `${formatLine(level, message, fields)}\n`;
    if (pendingChars + line.length > MAX_PENDING_CHARS) {
      droppedCount++;
      return;
    }
    if (unreportedCount > 0) {
      reportedCount = droppedCount;
      pendingLines.push(
        `${formatLine('warn', 'log lines dropped', {lost: unreportedCount})}\n`,
      );
    }
    pendingLines.push(line);
    pendingChars += line.length;
    scheduleFlush();
  };
  const formatLine = (level: string, message: string, fields: object) => {
    const at = new Date(options.timers.wallNow()).toISOString();
    const fieldsJson = JSON.stringify(fields).slice(1, -1);
    const prefix = `{"at":"${at}","level":"${level}",${commonFieldsJson},"event":${JSON.stringify(message)}`;
    return fieldsJson === '' ? `${prefix}}` : `${prefix},${fieldsJson}}`;
  };
  return {
    info: (message, fields) => log('info', message, fields),
    warn: (message, fields) => log('warn', message, fields),
    error: (message, fields) => log('error', message, fields),
    get droppedLines() {
      return droppedCount;
    },
    async [Symbol.asyncDispose]() {
      const deadlineMs = options.timers.now() + DISPOSE_TIMEOUT_MS;
      flush();
      while (isWriting && options.timers.now() < deadlineMs) {
        await options.timers.sleep(1);
      }
    },
  };
}

function writeToStdout(
  bytes: Buffer,
  done: (err: NodeJS.ErrnoException | null, written: number) => void,
): void {
  write(STDOUT, bytes, done);
}
