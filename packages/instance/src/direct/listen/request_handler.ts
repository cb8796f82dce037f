import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import type {RequestExchangeOptions} from './exchange_options.js';
import {RequestExchange} from './request_exchange.js';

/** Handles the HTTP requests of callers and counts those in progress. */
export class RequestHandler {
  private openCount = 0;
  private readonly unfinished = new Set<RequestExchange>();

  /**
   * Creates the handler.
   * @param options - Dependencies of the exchanges that it starts.
   */
  constructor(private readonly options: RequestExchangeOptions) {}

  /** The number of requests in progress; a response that is still being streamed is not counted. */
  get openRequests(): number {
    return this.openCount;
  }

  /**
   * Returns whether a request from a connection may run: it has arrived whole and awaits its
   * response.
   * @param connection - The connection of a caller.
   */
  mayRunOn(connection: Duplex): boolean {
    return [...this.unfinished].some(each => each.mayRunOn(connection));
  }

  /** Ends the requests that a planned stop cannot wait for. */
  endUnfinished(): void {
    for (const exchange of this.unfinished) exchange.endForStop();
  }

  /**
   * Handles one request.
   * @param req - The request.
   * @param res - The response to the caller.
   */
  handle(req: IncomingMessage, res: ServerResponse): void {
    this.openCount++;
    this.options.metrics.openRequests.set(this.openCount);
    const exchange = new RequestExchange(req, res, this.options);
    this.unfinished.add(exchange);
    res.once('close', () => this.unfinished.delete(exchange));
    void exchange.run().finally(() => {
      this.openCount--;
      this.options.metrics.openRequests.set(this.openCount);
    });
  }
}
