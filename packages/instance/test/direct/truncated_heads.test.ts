import type {Socket} from 'node:net';
import {RequestKind} from '@primrosestage/steering';
import {afterEach, describe, expect, it} from 'vitest';
import {createRoute, send} from './fleet.js';
import {NAMES} from './names.js';
import {TestFleet} from './test_fleet.js';

const BODY = 'whole';

describe('responses that end within their head', () => {
  const fleet = new TestFleet();

  afterEach(() => fleet.end());

  const createResponse = (id: string, framing: string) =>
    `HTTP/1.1 200 OK\r\n${NAMES.requestId}: ${id}\r\n${NAMES.stamp}: stamp-e1\r\n` +
    `${framing}\r\n\r\n${BODY}`;

  const end = (socket: Socket, isReset: boolean) => {
    if (isReset) socket.resetAndDestroy();
    else socket.end();
  };

  // Other operators saw a 200 with an empty or short body, framed as whole.
  it.each([
    ['a length', `Content-Length: ${BODY.length}`, false],
    ['a length', `Content-Length: ${BODY.length}`, true],
    ['chunks', 'Transfer-Encoding: chunked', false],
    ['no length', 'Connection: close', false],
    ['no length', 'Connection: close', true],
  ])(
    'guards against a success after a head with %s that is cut anywhere (%s, reset: %s)',
    async (_, framing, isReset) => {
      const route = createRoute({kind: RequestKind.Unsafe, attempts: 1});
      const {stub, instance} = await fleet.startServing(47, [route]);
      const headBytes = createResponse('id-100', framing).indexOf('\r\n\r\n');
      for (let cut = 0; cut < headBytes + 4; cut++) {
        const id = `id-${100 + cut}`;
        stub.handle = (req, _res, self) => {
          req.socket.write(createResponse(id, framing).slice(0, cut));
          self.ran.length = 0;
          setImmediate(() => end(req.socket, isReset));
        };
        const response = await send(instance, {id, method: 'POST'});
        expect(response, `cut after ${cut} bytes`).toMatchObject({
          status: 502,
          body: '',
        });
        // A whole response resets the endpoint's count of failures, so that no backoff begins.
        stub.handle = undefined;
        await send(instance, {method: 'POST'});
      }
    },
  );
});
