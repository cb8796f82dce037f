import http from 'node:http';

/** Largest head of an HTTP message that is accepted, in bytes. */
export const MAX_HEAD_BYTES = 64 * 1024;
/** Size of the shortest header field in bytes: one character, a colon and the end of the line. */
const MIN_FIELD_BYTES = 4;
/**
 * Number of header fields at which the head of a request is longer than `MAX_HEAD_BYTES`. The parser
 * does not count the ends of lines, so that it accepts such a head.
 */
export const MAX_HEAD_FIELDS = MAX_HEAD_BYTES / MIN_FIELD_BYTES;
/** Value by which Node.js hands over any number of header fields. */
const ANY_NUMBER_OF_FIELDS = 0;
const HEAD_TOO_LONG_STATUS = 431;

/**
 * Returns whether all header fields of a request were handed over. Beyond `MAX_HEAD_FIELDS`, Node.js
 * drops fields without an error, although its parser has used them.
 * @param req - The request.
 */
export function hasAllFields({
  rawHeaders,
}: Pick<http.IncomingMessage, 'rawHeaders'>): boolean {
  return rawHeaders.length < 2 * MAX_HEAD_FIELDS;
}

/**
 * Creates an HTTP server that hands over all header fields of each request, or rejects the request
 * with status 431.
 * @param options - Options of Node.js.
 * @param handle - Handles the requests. A listener that is added to the server itself has to call
 * `hasAllFields`.
 */
export function createHttpServer(
  options: http.ServerOptions = {},
  handle?: http.RequestListener,
): http.Server {
  const server = http.createServer({maxHeaderSize: MAX_HEAD_BYTES, ...options});
  server.maxHeadersCount = MAX_HEAD_FIELDS;
  if (handle) {
    server.on('request', (req, res) => {
      if (hasAllFields(req)) handle(req, res);
      else rejectLongHead(res);
    });
  }
  return server;
}

/**
 * Starts an HTTP request whose response is handed over with all its header fields.
 * @param options - Options of Node.js.
 * @returns The request, which fails if the head of its response is longer than `MAX_HEAD_BYTES`.
 */
export function startHttpRequest(
  options: http.RequestOptions,
): http.ClientRequest {
  const req = http.request({maxHeaderSize: MAX_HEAD_BYTES, ...options});
  req.maxHeadersCount = ANY_NUMBER_OF_FIELDS;
  return req;
}

function rejectLongHead(res: http.ServerResponse): void {
  res.shouldKeepAlive = false;
  res.writeHead(HEAD_TOO_LONG_STATUS, {'content-length': 0}).end();
}
