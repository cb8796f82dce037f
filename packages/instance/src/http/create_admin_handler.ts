import type {RequestListener, ServerResponse} from 'node:http';
import type {Registry} from 'prom-client';
import {sendJson} from './send_json.js';

/** Configures the administration listener. */
export interface AdminHandlerOptions {
  registry: Registry;
  /** Path prefix of the administration API. */
  adminPath: string;
  handleAdmin: RequestListener;
}

/**
 * Creates the handler of the administration listener.
 * @param options - Metrics and the administration API.
 * @returns The handler.
 */
export function createAdminHandler(
  options: AdminHandlerOptions,
): RequestListener {
  return (req, res) => {
    const url = req.url ?? '/';
    if (url.startsWith(options.adminPath)) options.handleAdmin(req, res);
    else if (url === '/metrics') void sendMetrics(options.registry, res);
    else sendJson(res, 404, {message: `no resource ${url}`});
  };
}

async function sendMetrics(
  registry: Registry,
  res: ServerResponse,
): Promise<void> {
  const text = await registry.metrics();
  res.writeHead(200, {'content-type': registry.contentType});
  res.end(text);
}
