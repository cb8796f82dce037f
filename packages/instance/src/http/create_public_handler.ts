import type {RequestListener} from 'node:http';
import {sendJson} from './send_json.js';

/** Configures the public listener. */
export interface PublicHandlerOptions {
  handleLookup: RequestListener;
  handleRequest: RequestListener;
  /** Returns whether this instance accepts requests. */
  isReady(): boolean;
}

/**
 * Creates the handler of the public listener.
 * @param options - Handlers of lookups and requests, and readiness.
 * @returns The handler.
 */
export function createPublicHandler(
  options: PublicHandlerOptions,
): RequestListener {
  return (req, res) => {
    const url = req.url ?? '/';
    if (url.startsWith('/v1/requests/')) options.handleRequest(req, res);
    else if (url.startsWith('/v1/lookup')) options.handleLookup(req, res);
    else if (url === '/healthz') sendJson(res, 200, {healthy: true});
    else if (url === '/readyz') {
      const ready = options.isReady();
      sendJson(res, ready ? 200 : 503, {ready});
    } else sendJson(res, 404, {message: `no resource ${url}`});
  };
}
