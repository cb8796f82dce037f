import http from 'node:http';

/** Configures a call to an instance. */
export interface FetchOptions {
  method?: string;
  headers?: Record<string, string>;
  body?: unknown;
  timeoutMs?: number;
  /** Source address of the call. */
  localAddress?: string;
}

/** Answer to a call. */
export interface TextAnswer {
  status: number;
  text: string;
}

/**
 * Calls a listener of an instance.
 * @param url - URL to call.
 * @param options - Method, headers, body and timeout; the default timeout is 1,000 ms.
 * @returns The answer, or undefined if there was none.
 */
export function fetchText(
  url: string,
  options: FetchOptions = {},
): Promise<TextAnswer | undefined> {
  return new Promise(resolve => {
    const {method, localAddress} = options;
    const req = http.request(url, {
      method,
      localAddress,
      agent: false,
      headers: {...options.headers, 'content-type': 'application/json'},
      signal: AbortSignal.timeout(options.timeoutMs ?? 1_000),
    });
    req.on('error', () => resolve(undefined));
    req.on('response', res => {
      let text = '';
      res.setEncoding('utf8');
      res.on('data', chunk => (text += chunk));
      res.on('error', () => resolve(undefined));
      res.on('end', () => resolve({status: res.statusCode ?? 0, text}));
    });
    req.end(
      options.body === undefined ? undefined : JSON.stringify(options.body),
    );
  });
}
