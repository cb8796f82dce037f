// Stand-in of an endpoint: answers each request by a handler and counts what it has run.
import {Buffer} from 'node:buffer';
import http from 'node:http';

/**
 * Starts an endpoint.
 * @param id - Its id; a request that expects another one gets 421.
 * @param host - Loopback address.
 * @param handle - Called with the request, its body and the answer; `reply` writes a sound answer.
 */
export async function startEndpoint(id, host, handle) {
  let count = 0;
  const server = http.createServer((req, res) => {
    const requestId = req.headers['primrosestage-request-id'];
    const expected = req.headers['primrosestage-expect-instance'];
    const chunks = [];
    req.on('data', chunk => chunks.push(chunk));
    req.on('end', () => {
      const reject = (status, reason) => {
        res.writeHead(status, {
          'primrosestage-not-run': reason,
          'primrosestage-request-id': requestId ?? '',
          'content-length': 0,
        });
        res.end();
      };
      if (requestId === undefined) return reject(400, 'no-id');
      if (expected !== undefined && expected !== id)
        return reject(421, 'other');
      const stamp = `${id}.${++count}`;
      const reply = (status, body) => {
        res.writeHead(status, {
          'primrosestage-request-id': requestId,
          'primrosestage-server-stamp': stamp,
          'primrosestage-server-load': '1,0,64',
          'content-length': Buffer.byteLength(body),
        });
        res.end(body);
      };
      handle({
        req,
        res,
        requestId,
        stamp,
        body: Buffer.concat(chunks),
        reply,
        reject,
      });
    });
  });
  server.keepAliveTimeout = 30_000;
  await new Promise(resolve => server.listen(0, host, resolve));
  return {
    id,
    address: `${host}:${server.address().port}`,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
