import {RequestKind} from '@primrosestage/steering';
import {afterEach, describe, expect, it} from 'vitest';
import {renderHead} from './endpoint_stub.js';
import {createRoute, send} from './fleet.js';
import {NAMES} from './names.js';
import {TestFleet} from './test_fleet.js';

type Following = 'nothing' | 'the answer' | 'the end';

const UPGRADE = {connection: 'Upgrade', upgrade: 'websocket'};
/** Forms of a status 101, of which Node.js reports some as the response and some as an upgrade. */
const FORMS_OF_101: Array<[string, Record<string, string>]> = [
  ['without upgrade headers', {}],
  ['with a length', {'content-length': '5'}],
  ['with upgrade headers', UPGRADE],
  ['with the not-run marker', {[NAMES.notRun]: '1'}],
];

describe('interim responses of endpoints', () => {
  const fleet = new TestFleet();

  afterEach(() => fleet.end());

  /**
   * Sends an order to an endpoint that writes an interim response first, with its id and stamp.
   * @returns The response to the caller, after the order has run once.
   */
  const sendOrder = async (
    status: string,
    extra: Record<string, string>,
    following: Following,
  ) => {
    const route = createRoute({kind: RequestKind.Unsafe});
    const {stub, instance} = await fleet.startServing(75, [route]);
    stub.handle = (req, res, self) => {
      const headers = {...self.getDefaultHeaders(req), ...extra};
      req.socket.write(`${renderHead(status, headers)}\r\n`);
      if (following === 'the end') req.socket.end();
      if (following === 'the answer') self.respond(req, res);
    };
    const response = await send(instance, {method: 'POST', deadlineMs: 500});
    expect(stub.ran).toHaveLength(1);
    await fleet.end();
    return response;
  };

  it.each(FORMS_OF_101)(
    'guards against a status 101 %s that is taken for the final one',
    async (_, extra) => {
      for (const following of ['nothing', 'the answer', 'the end'] as const) {
        const {status, headers} = await sendOrder('101 Ok', extra, following);
        expect(status).toBe(502);
        expect(headers[NAMES.stamp]).toBeUndefined();
      }
    },
  );

  it.each(['100 Continue', '102 Processing', '103 Early Hints', '199 Other'])(
    'guards against a status %s that is taken for the final one',
    async status => {
      const answered = await sendOrder(status, {}, 'the answer');
      expect(answered).toMatchObject({status: 200, body: 'answer of e1'});
      expect((await sendOrder(status, {}, 'nothing')).status).toBe(504);
      expect((await sendOrder(status, {}, 'the end')).status).toBe(502);
    },
  );
});
