import type {ServerResponse} from 'node:http';

/**
 * Sends a JSON answer.
 * @param res - The response, whose headers are not yet sent.
 * @param status - HTTP status.
 * @param body - The value to serialize.
 */
export function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
): void {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}
