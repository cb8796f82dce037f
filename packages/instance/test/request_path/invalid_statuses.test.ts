import type http from 'node:http';
import {afterEach, describe, expect, it} from 'vitest';
import {call} from '../support/call.js';
import {sendRunNumber, type BackendHandler} from '../support/start_backend.js';
import {startSystem, type TestSystem} from '../support/start_system.js';

const SUBNET = 24;
const STATUSES = ['000', '099', '600', '999'];
const INTERIM = 'HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n';
const NOT_RUN = 'primrose-outcome: not-run\r\n';

/** Writes a response with an invalid status; it has the request's id, as a true refusal does. */
function respond(
  req: http.IncomingMessage,
  status: string,
  extra: string,
): void {
  const id = String(req.headers['primrose-request-id']);
  req.socket.write(
    `${extra.startsWith('HTTP') ? extra : ''}HTTP/1.1 ${status} Odd\r\n` +
      `primrose-request-id: ${id}\r\n` +
      `${extra.startsWith('HTTP') ? '' : extra}Content-Length: 3\r\n\r\nodd`,
  );
}

describe.each(STATUSES)(
  'a response of an owned endpoint with status %s',
  status => {
    let system: TestSystem;

    afterEach(() => system.stopAll());

    const start = async (
      handle: BackendHandler,
      options: {instances?: number; endpoints?: number} = {},
    ) => {
      system = await startSystem({subnet: SUBNET, handle, ...options});
      return (instance: number) => `${system.getUrl(instance)}/x`;
    };
    const getRuns = () =>
      system.backends.reduce((sum, {requests}) => sum + requests.length, 0);

    it.each([
      ['an answer', ''],
      ['an answer after an interim response', INTERIM],
      ['a refusal', NOT_RUN],
    ])('guards against its use as %s to an order', async (_, extra) => {
      const getUrl = await start(req => respond(req, status, extra), {
        instances: 2,
      });
      // One of the instances is not the owner and relays the order.
      for (const instance of [0, 1]) {
        const runs = getRuns();
        const response = await call(getUrl(instance), {
          method: 'POST',
          body: 'o',
        });
        expect(response.status).toBe(502);
        expect(response.headers['primrose-outcome']).toBe('unknown');
        expect(getRuns()).toBe(runs + 1);
      }
    });

    it('is retried where the request may be repeated', async () => {
      const getUrl = await start(
        (req, res, run) =>
          req.socket.localAddress?.endsWith('.100')
            ? respond(req, status, '')
            : sendRunNumber(req, res, run),
        {endpoints: 2},
      );
      for (let i = 0; i < 4; i++) {
        const {status: received} = await call(getUrl(0));
        expect(received).toBe(200);
      }
      expect(system.backends[0]?.requests.length).toBeGreaterThan(0);
    });
  },
);
