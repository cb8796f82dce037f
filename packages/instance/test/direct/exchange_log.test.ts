import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {type EventLogger, RealTimerService} from '@primrosestage/common';
import {afterEach, describe, expect, it} from 'vitest';
import {logLateExchanges} from '../../src/direct/control/exchange_log.js';
import {sleep, waitFor} from './fleet.js';

/** Time after which the server answers late, in milliseconds. */
const LATE_MS = 250;

describe('logLateExchanges', () => {
  const lines: Array<Record<string, unknown>> = [];
  let server: http.Server;

  afterEach(async () => {
    lines.length = 0;
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
  });

  const ask = async (delayMs: number, body: string, signal?: AbortSignal) => {
    const log = (_: string, fields: object = {}) => {
      lines.push(fields as Record<string, unknown>);
    };
    const logger: EventLogger = {info: log, warn: log, error: log};
    server = http.createServer(
      logLateExchanges(
        (req, res) => {
          req.resume();
          setTimeout(() => res.end(body), delayMs);
        },
        {timers: new RealTimerService(), logger},
      ),
    );
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    await new Promise(resolve => {
      http
        .request({port, host: '127.0.0.1', method: 'POST', signal}, res =>
          res.resume().on('close', resolve),
        )
        .on('error', resolve)
        .end('question');
    });
  };

  it('logs the time and the size of an answer that is late', async () => {
    await ask(LATE_MS, 'x'.repeat(20_000));
    await waitFor('it is logged', () => lines.length > 0);
    const {ms, sentBytes, ...fields} = lines[0]!;
    expect(fields).toMatchObject({peer: '127.0.0.1', isSent: true});
    expect(ms).toBeGreaterThanOrEqual(LATE_MS - 10);
    expect(sentBytes).toBeGreaterThan(20_000);
  });

  it('logs an exchange that the asking side has given up', async () => {
    await ask(LATE_MS, 'answer', AbortSignal.timeout(50));
    await waitFor('it is logged', () => lines.length > 0);
    expect(lines).toMatchObject([{isSent: false}]);
  });

  it('guards against a log line for each exchange', async () => {
    await ask(0, 'answer');
    await sleep(50);
    expect(lines).toEqual([]);
  });
});
