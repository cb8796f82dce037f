import {StoreError, StoreFailure} from '@primrosestage/control';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {
  getProcessPort,
  type RunningInstances,
  startInstances,
  startSilentListener,
} from './start_instances.js';

const TOKEN = 'example-token-tesfaye';
let instances: RunningInstances;
let silentListener: AsyncDisposable;
/** Makes writes to the store fail with a lost reply, and reads after such a write as well. */
let isStoreUnreachable = false;

async function call(
  method: string,
  path: string,
  body?: unknown,
  {token = TOKEN, at = 0} = {},
) {
  const res = await fetch(`${instances.urls[at]}/admin/v1/teams/${path}`, {
    method,
    body: body === undefined ? undefined : JSON.stringify(body),
    headers: token === '' ? {} : {authorization: `Bearer ${token}`},
  });
  const answer = (await res.json()) as Record<string, unknown>;
  return {status: res.status, body: answer};
}

async function getRevision(): Promise<number> {
  const {body} = await call('GET', 'tesfaye/presets');
  return body.revision as number;
}

beforeAll(async () => {
  silentListener = await startSilentListener(
    '127.50.3.1',
    getProcessPort(7001),
  );
  instances = await startInstances(0, 2, store => {
    const put = store.put.bind(store);
    const get = store.get.bind(store);
    const createLostReplyError = () =>
      new StoreError({failure: StoreFailure.ReplyLost, peer: 'test'}, 'lost');
    let wasWritten = false;
    store.put = async (...args) => {
      if (!isStoreUnreachable) return put(...args);
      wasWritten = true;
      throw createLostReplyError();
    };
    store.get = async key => {
      if (isStoreUnreachable && wasWritten) throw createLostReplyError();
      wasWritten = false;
      return get(key);
    };
    return store;
  });
});

afterAll(async () => {
  await instances[Symbol.asyncDispose]();
  await silentListener[Symbol.asyncDispose]();
});

describe('administration API', () => {
  const paths: Array<[string, string, unknown]> = [
    ['GET', 'presets', undefined],
    ['GET', 'presets/day', undefined],
    ['GET', 'presets/day/diff/peak', undefined],
    ['GET', 'status', undefined],
    ['PUT', 'presets/day', {preset: {}}],
    ['POST', 'presets/day/validate', {preset: {}}],
    ['POST', 'active', {name: 'peak'}],
    ['POST', 'drains', {action: 'drain', kind: 'zone', target: 'addis-a'}],
  ];
  it.each(paths)(
    'rejects %s %s without a token of the team (guards against access across teams)',
    async (method, path, fields) => {
      const body = fields && {basedOn: 1, changeId: 'x', ...fields};
      const get = (team: string, token: string) =>
        call(method, `${team}/${path}`, body, {token});
      expect((await get('tesfaye', '')).status).toBe(401);
      expect((await get('tesfaye', 'guess')).status).toBe(401);
      expect((await get('tesfaye', 'other-token')).status).toBe(403);
      expect((await get('other', TOKEN)).status).toBe(403);
      expect((await get('nobody', TOKEN)).status).toBe(403);
    },
  );

  it("rejects a drain of another team's endpoint (guards against a team that drains endpoints of other teams through its own document)", async () => {
    const body = {
      action: 'drain',
      kind: 'endpoint',
      target: 'archive-addis-a-1',
    };
    const change = {basedOn: await getRevision(), changeId: 'e', ...body};
    expect((await call('POST', 'tesfaye/drains', change)).status).toBe(400);
  });

  it('applies a change at the other instance, accepts its retry and rejects a conflicting change with the current revision (guards against lost updates)', async () => {
    const basedOn = await getRevision();
    const change = {
      basedOn,
      changeId: 'd1',
      action: 'drain',
      kind: 'zone',
      target: 'addis-b',
    };
    const accepted = {
      status: 200,
      body: {outcome: 'accepted', revision: basedOn + 1},
    };
    expect(await call('POST', 'tesfaye/drains', change)).toMatchObject(
      accepted,
    );
    expect(await call('POST', 'tesfaye/drains', change, {at: 1})).toMatchObject(
      accepted,
    );
    const conflicting = {basedOn, changeId: 'a1', name: 'peak'};
    expect(
      await call('POST', 'tesfaye/active', conflicting, {at: 1}),
    ).toMatchObject({
      status: 409,
      body: {outcome: 'conflict', revision: basedOn + 1},
    });
    await expect
      .poll(
        async () =>
          (await call('GET', 'tesfaye/presets', undefined, {at: 1})).body,
      )
      .toMatchObject({revision: basedOn + 1});
  });

  it('reports all issues of a preset at once (guards against reporting only the first issue per request)', async () => {
    const preset = {
      headroom: 2,
      maxQueueMs: '50ms',
      shiftCaps: 0.1,
    };
    const answer = await call('PUT', 'tesfaye/presets/day', {
      changeId: 'p',
      preset,
    });
    expect(answer.status).toBe(400);
    const issues = answer.body.issues as Array<{key: string; expected: string}>;
    expect(issues.map(({key}) => key).sort()).toEqual([
      'basedOn',
      'preset.headroom',
      'preset.maxQueueMs',
      'preset.shiftCaps',
    ]);
    expect(issues.find(({key}) => key.endsWith('Ms'))?.expected).toMatch(
      /whole number of milliseconds/,
    );
    const caps = {linkCaps: {'addis>hawassa': 9_000}, shares: {archive: {}}};
    const checked = await call('POST', 'tesfaye/presets/x/validate', {
      preset: caps,
    });
    expect(checked.body).toMatchObject({isValid: false, issues: [{}, {}]});
  });

  it('reports unreachable instances and responds in bounded time (guards against a status request that hangs)', async () => {
    const startMs = performance.now();
    const {body} = await call('GET', 'tesfaye/status');
    expect(performance.now() - startMs).toBeLessThan(5_000);
    const lines = body.instances as Array<{id: string; isReachable: boolean}>;
    expect(lines.filter(l => l.isReachable).map(l => l.id)).toEqual([
      'addis-a-1',
      'addis-a-2',
    ]);
    expect(lines).toHaveLength(7);
    expect(body).toMatchObject({
      isConverged: false,
      revision: await getRevision(),
    });
    const headroom = body.headroom as Array<{service: string}>;
    expect(headroom.some(({service}) => service === 'archive')).toBe(false);
  });

  it('responds with 504 if the outcome is unknown, and accepts the retry (guards against a false rejection)', async () => {
    const basedOn = await getRevision();
    const change = {basedOn, changeId: 'u1', name: 'maintenance'};
    isStoreUnreachable = true;
    expect(await call('POST', 'tesfaye/active', change)).toMatchObject({
      status: 504,
      body: {outcome: 'unknown', changeId: 'u1'},
    });
    isStoreUnreachable = false;
    expect(await call('POST', 'tesfaye/active', change)).toMatchObject({
      status: 200,
    });
    const {body} = await call('GET', 'tesfaye/presets/maintenance');
    expect(body).toMatchObject({isActive: true, preset: {shiftCap: 0.05}});
  });
});
