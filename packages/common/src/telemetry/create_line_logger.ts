import {write} from 'node:fs';
import type {TimerService} from '../time/index.js';
import type {EventLogger} from './event_logger.js';

/** Time for which lines are collected before they are written, in milliseconds. */
const FLUSH_INTERVAL_MS = 100;
/** Pause after the reader of the log took nothing, in milliseconds. */
const FULL_PAUSE_MS = 200;
/** Characters held while the reader of the log is slow; further lines are dropped and counted. */
const MAX_HELD_CHARS = 1_000_000;
/** Bytes of a write that a pipe takes whole or not at all. */
const MAX_WRITE_BYTES = 4_096;
/** Longest wait for the reader at the end of the process, in milliseconds. */
const DISPOSE_TIMEOUT_MS = 200;
const STDOUT = 1;

/** Writes bytes and reports how many were taken, or why none were. */
export type WriteBytes = (
  bytes: Buffer,
  done: (err: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/** Configures a logger that never blocks. */
export interface LineLoggerOptions {
  timers: TimerService;
  /** Fields that every line carries, such as the instance id. */
  fields: Record<string, string>;
  /** Writes bytes as `fs.write` does; to standard output by default. */
  writeBytes?: WriteBytes;
}

/** Writes lines and gives out what is left at the end. */
export interface LineLogger extends EventLogger, AsyncDisposable {
  /** Lines that were dropped because the reader was slow. */
  readonly droppedLines: number;
}

/**
 * Creates a logger that writes JSON lines in the background. Lines are collected and written
 * outside the event loop, so that a reader that stops reading never blocks a request.
 * @param options - Clock, common fields and where text goes.
 */
export function createLineLogger(options: LineLoggerOptions): LineLogger {
  const writeBytes = options.writeBytes ?? writeToStdout;
  const common = JSON.stringify(options.fields).slice(1, -1);
  let held: string[] = [];
  let heldChars = 0;
  let isWriting = false;
  let isDue = false;
  let dropped = 0;
  let reported = 0;

  const flush = () => {
    isDue = false;
    if (isWriting || held.length === 0) return;
    const text = held.join('');
    held = [];
    heldChars = 0;
    isWriting = true;
    writeAll(Buffer.from(text), () => {
      isWriting = false;
      if (held.length > 0) schedule();
    });
  };
  const writeAll = (bytes: Buffer, done: () => void) => {
    const part = bytes.subarray(0, MAX_WRITE_BYTES);
    writeBytes(part, (err, written) => {
      if (err?.code === 'EAGAIN') {
        // Trying again at once would take the whole processor from the requests.
        options.timers.after(FULL_PAUSE_MS, () => writeAll(bytes, done));
      } else if (err || written >= bytes.length) {
        // A failed write loses its lines: there is no other place to report it to.
        done();
      } else {
        writeAll(bytes.subarray(written), done);
      }
    });
  };
  const schedule = () => {
    if (isDue || isWriting) return;
    isDue = true;
    options.timers.after(FLUSH_INTERVAL_MS, flush);
  };
  const log = (level: string, message: string, fields: object = {}) => {
    const lost = dropped - reported;
    const line = `${formatLine(level, message, fields)}\n`;
    if (heldChars + line.length > MAX_HELD_CHARS) {
      dropped++;
      return;
    }
    if (lost > 0) {
      reported = dropped;
      held.push(`${formatLine('warn', 'log lines dropped', {lost})}\n`);
    }
    held.push(line);
    heldChars += line.length;
    schedule();
  };
  const formatLine = (level: string, message: string, fields: object) => {
    const at = new Date(options.timers.wallNow()).toISOString();
    const rest = JSON.stringify(fields).slice(1, -1);
    const head = `{"at":"${at}","level":"${level}",${common},"event":${JSON.stringify(message)}`;
    return rest === '' ? `${head}}` : `${head},${rest}}`;
  };
  return {
    info: (message, fields) => log('info', message, fields),
    warn: (message, fields) => log('warn', message, fields),
    error: (message, fields) => log('error', message, fields),
    get droppedLines() {
      return dropped;
    },
    async [Symbol.asyncDispose]() {
      const endAt = options.timers.now() + DISPOSE_TIMEOUT_MS;
      flush();
      while (isWriting && options.timers.now() < endAt) {
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
