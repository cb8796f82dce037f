import http from 'node:http';
import {pipeline} from 'node:stream';

/**
 * Starts a relay that only streams requests and responses, the baseline for one hop.
 * @param host - Address to listen on.
 * @param port - Port to listen on.
 * @param target - `host:port` of the upstream server.
 */
export async function startBareRelay(
  host: string,
  port: number,
  target: string,
): Promise<void> {
  const [targetHost, targetPort] = target.split(':');
  const agent = new http.Agent({keepAlive: true});
  const server = http.createServer((req, res) => {
    const upstreamReq = http.request(
      {
        host: targetHost,
        port: Number(targetPort),
        method: req.method,
        path: req.url,
        headers: req.headers,
        agent,
      },
      upstreamRes => {
        res.writeHead(upstreamRes.statusCode ?? 502, upstreamRes.headers);
        pipeline(upstreamRes, res, err => {
          if (err) res.destroy();
        });
      },
    );
    upstreamReq.on('error', () => {
      if (res.headersSent) res.destroy();
      else res.writeHead(502).end();
    });
    pipeline(req, upstreamReq, () => {});
  });
  server.keepAliveTimeout = 30_000;
  await new Promise<void>(resolve => server.listen(port, host, resolve));
}
