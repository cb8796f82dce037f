import type http from 'node:http';
import type {ClientAccount} from '@primrosestage/steering';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {EndpointStub} from './endpoint_stub.js';
import {
  createRoute,
  putConfiguration,
  putEndpoint,
  send,
  startInstance,
  type TestInstance,
  waitFor,
  waitUntilServing,
} from './fleet.js';
import {MemoryRegistry} from './memory_registry.js';
import {NAMES} from './names.js';

const KEY = NAMES.accountKey;
const NAME = NAMES.accountName;
const ROUTES = [
  createRoute(),
  createRoute({name: 'open', prefix: '/open/', isPublic: true}),
  createRoute({name: 'south', prefix: '/south/', homeRegions: ['south']}),
];

function createAccount(changes: Partial<ClientAccount> = {}): ClientAccount {
  return {
    name: 'mill',
    keys: ['key-1', 'key-2'],
    ratePerSecond: 0,
    burst: 0,
    homeRegions: [],
    ...changes,
  };
}

describe('client accounts', () => {
  let registry: MemoryRegistry;
  let north: EndpointStub;
  let south: EndpointStub;
  let test: TestInstance;
  let arrived: http.IncomingHttpHeaders | undefined;

  beforeEach(async () => {
    registry = new MemoryRegistry();
    north = await new EndpointStub('north').start();
    south = await new EndpointStub('south').start();
    for (const stub of [north, south]) {
      stub.handle = (req, res, self) => {
        arrived = req.headers;
        self.respond(req, res);
      };
    }
    arrived = undefined;
    putEndpoint(registry, north);
    putEndpoint(registry, south, {zone: 'south-a'});
    putAccounts(1, [createAccount()]);
    test = await startInstance(registry, 1);
    await waitUntilServing(test);
  });

  afterEach(async () => {
    await test.instance[Symbol.asyncDispose]();
    await north[Symbol.asyncDispose]();
    await south[Symbol.asyncDispose]();
  });

  const putAccounts = (version: number, accounts?: ClientAccount[]) =>
    putConfiguration(registry, version, ROUTES, {}, {}, accounts);

  const sendWith = (headers: http.OutgoingHttpHeaders, path?: string) =>
    send(test, {headers, path});

  const waitForVersion = (version: number) =>
    waitFor('the version is in force', () =>
      test.lines.some(
        ({event, fields}) =>
          event === 'configuration in force' && fields.version === version,
      ),
    );

  it('guards against a key that reaches an endpoint, and a name that the caller chooses', async () => {
    const {status} = await sendWith({[KEY]: 'key-2', [NAME]: 'other'});
    expect(status).toBe(200);
    expect(arrived?.[KEY]).toBeUndefined();
    expect(arrived?.[NAME]).toBe('mill');
  });

  it.each([
    ['no key', {}],
    ['an unknown key', {[KEY]: 'key-3'}],
    ['a part of a key', {[KEY]: 'key'}],
    ['a key of the object prototype', {[KEY]: 'constructor'}],
    ['two keys', {[KEY]: ['key-1', 'key-2']}],
    ['more than a key', {[KEY]: 'Bearer key-1'}],
  ])('guards against running a request with %s', async (_name, headers) => {
    expect((await sendWith(headers)).status).toBe(401);
    expect(arrived).toBeUndefined();
  });

  it('guards against a public route that needs a key or passes a name on', async () => {
    expect((await sendWith({[NAME]: 'other'}, '/open/1')).status).toBe(200);
    expect(arrived?.[NAME]).toBeUndefined();
    await sendWith({[KEY]: 'key-3'}, '/open/1');
    expect(arrived?.[KEY]).toBeUndefined();
    await sendWith({[KEY]: 'key-1'}, '/open/1');
    expect(arrived?.[NAME]).toBe('mill');
  });

  it('guards against removed keys that still work, and added ones that do not', async () => {
    putAccounts(2, [createAccount({keys: ['key-1', 'key-4']})]);
    await waitForVersion(2);
    expect((await sendWith({[KEY]: 'key-2'})).status).toBe(401);
    expect((await sendWith({[KEY]: 'key-4'})).status).toBe(200);
  });

  it('guards against a request outside the home regions of its account or its route', async () => {
    putAccounts(2, [
      createAccount({homeRegions: ['south']}),
      createAccount({name: 'dye', keys: ['key-n'], homeRegions: ['north']}),
    ]);
    await waitForVersion(2);
    for (let i = 0; i < 10; i++) await sendWith({[KEY]: 'key-1'});
    expect(north.ran).toHaveLength(0);
    expect(south.ran).toHaveLength(10);
    expect((await sendWith({[KEY]: 'key-n'}, '/south/1')).status).toBe(503);
    expect(south.ran).toHaveLength(10);
  });

  it('guards against changed headers in a deployment without accounts', async () => {
    putAccounts(2);
    await waitForVersion(2);
    await sendWith({[KEY]: 'key-9', [NAME]: 'other'});
    expect(arrived?.[KEY]).toBe('key-9');
    expect(arrived?.[NAME]).toBe('other');
  });

  it('guards against keys in the log', async () => {
    await sendWith({[KEY]: 'key-1'});
    await sendWith({[KEY]: 'secret-of-nobody'});
    const text = JSON.stringify(test.lines);
    expect(text).toContain('"account":"mill"');
    expect(text).not.toMatch(/key-1|secret-of-nobody/);
  });
});
