import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RequestExchangeOptions} from './exchange_options.js';
import {RequestExchange} from './request_exchange.js';

/** Handles the requests of callers. */
export class RequestHandler {
  private openCount = 0;

  /**
   * Creates the handler.
   * @param options - Its collaborators.
   */
  constructor(private readonly options: RequestExchangeOptions) {}

  /** The number of requests that are not answered to the end. */
  get openRequests(): number {
    return this.openCount;
  }

  /**
   * Handles one request.
   * @param req - The request.
   * @param res - Its response.
   */
  handle(req: IncomingMessage, res: ServerResponse): void {
    this.openCount++;
    this.options.metrics.openRequests.set(this.openCount);
    const exchange = new RequestExchange(req, res, this.options);
    void exchange.run().finally(() => {
      this.openCount--;
      this.options.metrics.openRequests.set(this.openCount);
    });
  }
}
