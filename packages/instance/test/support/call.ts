import http from 'node:http';

/** Describes a caller's request. */
export interface CallOptions {
  method?: string;
  headers?: http.OutgoingHttpHeaders;
  body?: string | Buffer;
  agent?: http.Agent;
  signal?: AbortSignal;
}

/** The response that a caller received. */
export interface CallResult {
  status: number;
  headers: http.IncomingHttpHeaders;
  body: string;
  /** Connection error, which may occur in the middle of a response. */
  err?: Error;
}

/** Sends a request and reads the complete response. */
export function call(
  url: string,
  {body, ...options}: CallOptions = {},
): Promise<CallResult> {
  return new Promise(resolve => {
    const result: CallResult = {status: 0, headers: {}, body: ''};
    const finish = (err?: Error) => resolve({...result, err});
    const req = http.request(url, {agent: false, ...options}, res => {
      result.status = res.statusCode ?? 0;
      result.headers = res.headers;
      res.setEncoding('utf8');
      res.on('data', (chunk: string) => (result.body += chunk));
      res.on('error', finish);
      res.on('end', () => finish());
    });
    req.on('error', finish);
    req.end(body);
  });
}
