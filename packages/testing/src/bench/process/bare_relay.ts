import http from 'node:http';
import {pipeline} from 'node:stream';

/**
 * Starts a relay with nothing but streaming in both directions, the baseline for one hop.
 * @param host - Address to listen on.
 * @param port - Port to listen on.
 * @param target - `host:port` of the next process.
 */
export async function startBareRelay(
  host: string,
  port: number,
  target: string,
): Promise<void> {
  const [targetHost, targetPort] = target.split(':');
  const agent = new http.Agent({keepAlive: true});
  const server = http.createServer((req, res) => {
    const next = http.request(
      {
        host: targetHost,
        port: Number(targetPort),
        method: req.method,
        path: req.url,
        headers: req.headers,
        agent,
      },
      answer => {
        res.writeHead(answer.statusCode ?? 502, answer.headers);
        pipeline(answer, res, err => {
          if (err) res.destroy();
        });
      },
    );
    next.on('error', () => {
      if (res.headersSent) res.destroy();
      else res.writeHead(502).end();
    });
    pipeline(req, next, () => {});
  });
  server.keepAliveTimeout = 30_000;
  await new Promise<void>(resolve => server.listen(port, host, resolve));
}
