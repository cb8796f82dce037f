import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';
import type {EventLogger, TimerService} from '@primrosestage/common';

/** Shortest time of an exchange that is logged although it was answered, in milliseconds. */
const SLOW_EXCHANGE_MS = 150;

/** Configures the log of exchanges. */
export interface ExchangeLogOptions {
  timers: TimerService;
  logger: EventLogger;
}

/**
 * Logs the exchanges of other instances that are answered late or not at all, with the size of the
 * answer. The asking side only sees that no answer came in time.
 * @param listener - Answers the exchanges.
 * @param options - Clock and log.
 * @returns The listener that logs.
 */
export function logLateExchanges(
  listener: RequestListener,
  options: ExchangeLogOptions,
): RequestListener {
  return (req, res) => {
    watchExchange(req, res, options);
    listener(req, res);
  };
}

function watchExchange(
  req: IncomingMessage,
  res: ServerResponse,
  {timers, logger}: ExchangeLogOptions,
): void {
  const {socket} = req;
  const peer = socket.remoteAddress ?? '';
  const startedAt = timers.now();
  const bytesBefore = socket.bytesWritten;
  let readMs: number | undefined;
  req.once('end', () => {
    readMs = Math.round(timers.now() - startedAt);
  });
  res.once('close', () => {
    const ms = Math.round(timers.now() - startedAt);
    const isSent = res.writableFinished;
    if (isSent && ms < SLOW_EXCHANGE_MS) return;
    logger.info('peer exchange answered late', {
      peer,
      ms,
      readMs,
      sentBytes: socket.bytesWritten - bytesBefore,
      queuedBytes: socket.writableLength,
      isSent,
    });
  });
}
