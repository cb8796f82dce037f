import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {loadSettings} from '@primrosestage/control';
import {serve} from '@primrosestage/instance';
import {startBareRelay} from './bare_relay.js';
import {ChildRole, type ChildTask, type ChildUsage} from './child_roles.js';

const task = JSON.parse(process.argv[2] ?? '{}') as ChildTask;
const [host = '', port = '0'] = (task.address ?? '').split(':');

switch (task.role) {
  case ChildRole.FixedServer:
    await startFixedServer();
    break;
  case ChildRole.BareRelay:
    await startBareRelay(host, Number(port), task.target ?? '');
    break;
  case ChildRole.Instance:
    await serve(loadSettings(task.settings ?? ''));
    break;
}

process.on('message', async () => {
  // The processor time is read first, so that it does not include the garbage collection below.
  const {user, system} = process.cpuUsage();
  globalThis.gc?.();
  await sleep(20);
  const {rss, heapUsed, external} = process.memoryUsage();
  const usage: ChildUsage = {
    cpuMs: (user + system) / 1000,
    rssBytes: rss,
    heapBytes: heapUsed + external,
  };
  process.send?.(usage);
});
process.on('disconnect', () => process.exit(0));
process.send?.('ready');

async function startFixedServer(): Promise<void> {
  const body = Buffer.from(task.body ?? '');
  const headers = {
    'content-type': 'application/json',
    'content-length': body.length,
  };
  const server = http.createServer((req, res) => {
    res.writeHead(200, headers);
    res.end(body);
  });
  await new Promise<void>(resolve =>
    server.listen(Number(port), host, resolve),
  );
}
