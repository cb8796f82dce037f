import http from 'node:http';
import https from 'node:https';

/** Timeout of a request; an instance reports an unknown outcome after 6 s at the latest. */
const REQUEST_TIMEOUT_MS = 9_000;

/** Describes a request to the administration API. */
export interface RequestOptions {
  method: string;
  url: string;
  token: string;
  body?: unknown;
}

/** Holds a response, or why there is none. */
export type RequestResult =
  | {readonly status: number; readonly body: Record<string, unknown>}
  | {readonly status?: undefined; readonly message: string};

/**
 * Sends a request to the administration API.
 * @param options - Method, URL, token and body.
 * @returns The response, or what failed; never rejects.
 */
export function sendRequest(options: RequestOptions): Promise<RequestResult> {
  const {method, url, token, body} = options;
  const text = body === undefined ? undefined : JSON.stringify(body);
  return new Promise(resolve => {
    const fail = (err: Error) => resolve({message: `${url}: ${err.message}`});
    const {request} = url.startsWith('https:') ? https : http;
    const req = request(
      url,
      {method, headers: {authorization: `Bearer ${token}`}},
      res => {
        const chunks: Buffer[] = [];
        res.on('data', (chunk: Buffer) => chunks.push(chunk));
        res.on('error', fail);
        res.on('end', () => {
          const responseBody = parseJsonObject(
            Buffer.concat(chunks).toString('utf8'),
          );
          if (responseBody)
            resolve({status: res.statusCode ?? 500, body: responseBody});
          else resolve({message: `${url}: the response is not a JSON object`});
        });
        res.on('close', () => {
          if (!res.complete)
            resolve({message: `${url}: the response is incomplete`});
        });
      },
    );
    req.setTimeout(REQUEST_TIMEOUT_MS, () =>
      resolve({message: `${url}: no response within ${REQUEST_TIMEOUT_MS} ms`}),
    );
    req.on('timeout', () => req.destroy());
    req.on('error', fail);
    req.end(text);
  });
}

function parseJsonObject(text: string): Record<string, unknown> | undefined {
  try {
    const value = JSON.parse(text) as unknown;
    return typeof value === 'object' && value !== null
      ? (value as Record<string, unknown>)
      : undefined;
  } catch {
    return undefined;
  }
}
