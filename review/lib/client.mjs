// Stand-in of a client: sends one attempt and reports how it ended.
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import http from 'node:http';
import {randomBytes} from 'node:crypto';

/** Creates a request id. */
export const createId = () => randomBytes(8).toString('hex');

/**
 * Sends one request.
 * @returns The status (0 without an answer), the stamp, whether the answer is whole, and the time.
 */
export function send({
  address,
  host,
  path,
  method = 'GET',
  id = createId(),
  deadlineMs = 2_500,
  body,
  agent,
}) {
  const [ip, port] = address.split(':');
  const startedAt = performance.now();
  return new Promise(resolve => {
    const finish = result => {
      clearTimeout(timer);
      resolve({id, ms: performance.now() - startedAt, ...result});
    };
    const req = http.request({
      host: ip,
      port: Number(port),
      agent: agent ?? false,
      method,
      path,
      headers: {
        host,
        'primrosestage-request-id': id,
        'primrosestage-deadline-ms': String(deadlineMs),
        ...(body === undefined
          ? {}
          : {'content-length': Buffer.byteLength(body)}),
      },
    });
    const timer = setTimeout(() => {
      req.destroy();
      finish({status: 0, end: 'deadline'});
    }, deadlineMs);
    req.on('error', err => finish({status: 0, end: err.code ?? err.message}));
    req.on('response', res => {
      const chunks = [];
      res.on('data', chunk => chunks.push(chunk));
      res.on('error', err => finish({status: 0, end: err.code ?? err.message}));
      res.on('end', () =>
        finish({
          status: res.statusCode,
          stamp: res.headers['primrosestage-server-stamp'],
          retryAfter: res.headers['retry-after'],
          body: Buffer.concat(chunks).toString(),
          end: res.complete ? 'whole' : 'cut',
        }),
      );
    });
    req.end(body);
  });
}
