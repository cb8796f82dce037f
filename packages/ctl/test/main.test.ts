import {mkdtempSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {main} from '@primrosestage/ctl';
import {afterAll, afterEach, beforeAll, describe, expect, it, vi} from 'vitest';
import {
  getProcessPort,
  type RunningInstances,
  startInstances,
} from '../../instance/test/admin/start_instances.js';

const FAKE = {host: '127.50.29.1', port: getProcessPort(7002)};
const FAKE_URL = `http://${FAKE.host}:${FAKE.port}`;
const CHANGE = [
  'drain',
  'zone',
  'addis-a',
  '--admin',
  FAKE_URL,
  '--team',
  't',
  '--token',
  'x',
];
let instances: RunningInstances;
let fake: http.Server | undefined;

async function run(...args: string[]) {
  let out = '';
  let err = '';
  const stdout = vi.spyOn(process.stdout, 'write');
  const stderr = vi.spyOn(process.stderr, 'write');
  stdout.mockImplementation(text => ((out += String(text)), true));
  stderr.mockImplementation(text => ((err += String(text)), true));
  await main(['node', 'primrosectl', ...args]);
  stdout.mockRestore();
  stderr.mockRestore();
  const code = process.exitCode;
  process.exitCode = 0;
  return {code, out, err};
}

function runTesfaye(...args: string[]) {
  return run(...args, '--admin', instances.urls[0]!, '--team', 'tesfaye');
}

/** Starts a fake administration API that records the bodies of changes. */
async function startFake(
  answer: (res: http.ServerResponse, call: number) => void,
): Promise<Array<Record<string, unknown>>> {
  const bodies: Array<Record<string, unknown>> = [];
  fake = http.createServer((req, res) => {
    if (req.method === 'GET')
      return void res.end('{"revision":4,"presets":[]}');
    let text = '';
    req.on('data', chunk => (text += chunk));
    req.on('end', () => {
      bodies.push(JSON.parse(text) as Record<string, unknown>);
      answer(res, bodies.length);
    });
  });
  await new Promise<void>(resolve =>
    fake!.listen(FAKE.port, FAKE.host, resolve),
  );
  return bodies;
}

beforeAll(async () => {
  process.env.PRIMROSE_TOKEN = 'example-token-tesfaye';
  instances = await startInstances(20, 1);
});

afterAll(() => instances[Symbol.asyncDispose]());

afterEach(() => {
  fake?.close();
  fake?.closeAllConnections();
  fake = undefined;
});

describe('primrosectl', () => {
  it('creates, edits, compares and activates a preset (guards against verbs that the API rejects)', async () => {
    const file = path.join(
      mkdtempSync(path.join(tmpdir(), 'primrose-ctl-')),
      'p.toml',
    );
    writeFileSync(
      file,
      'shiftCap = 0.3\n[shares.orders.addis]\naddis = 0.5\nhawassa = 0.5\n',
    );
    expect(
      await runTesfaye('presets', 'create', 'fair', '--file', file),
    ).toMatchObject({code: 0, out: 'accepted as revision 2\n'});
    expect(await runTesfaye('presets', 'create', 'fair')).toMatchObject({
      code: 1,
    });
    expect(await runTesfaye('presets', 'edit', 'none')).toMatchObject({
      code: 1,
    });
    expect(
      await runTesfaye('presets', 'edit', 'fair', '--set', 'headroom=0.4'),
    ).toMatchObject({code: 0});
    const diff = await runTesfaye('presets', 'diff', 'day', 'fair');
    expect(diff.out).toMatch(
      /headroom +0\.2 +0\.4\n.*hawassa +- +0\.5\nshiftCap +0\.1 +0\.3/s,
    );
    expect(await runTesfaye('presets', 'activate', 'fair')).toMatchObject({
      code: 0,
    });
    expect((await runTesfaye('presets', 'list')).out).toMatch(
      /revision 4\n[^]*fair +yes/,
    );
    const shown = await runTesfaye('presets', 'show', 'fair', '--json');
    expect(JSON.parse(shown.out)).toMatchObject({
      isActive: true,
      preset: {headroom: 0.4},
    });
  });

  it('drains, shows the status and undrains (guards against drains that the status omits)', async () => {
    expect(
      await runTesfaye('drain', 'endpoint', 'orders-addis-a-1'),
    ).toMatchObject({code: 0});
    const {out} = await runTesfaye('status');
    expect(out).toMatch(/drains: endpoint orders-addis-a-1\n/);
    expect(out).toMatch(/addis-a-2 +addis-a +unreachable +- +-/);
    expect(
      await runTesfaye('undrain', 'endpoint', 'orders-addis-a-1'),
    ).toMatchObject({code: 0});
    expect(
      await runTesfaye('undrain', 'endpoint', 'orders-addis-a-1'),
    ).toMatchObject({code: 1});
  });

  it('reports issues of a preset and conflicts with exit code 1 (guards against scripts that continue after a failure)', async () => {
    const invalid = await runTesfaye(
      'presets',
      'validate',
      'day',
      '--set',
      'maxQueueMs=50ms',
    );
    expect(invalid).toMatchObject({code: 1});
    expect(invalid.out).toContain(
      'maxQueueMs: found "50ms", expected a whole number of milliseconds',
    );
    expect(await runTesfaye('presets', 'validate', 'day')).toMatchObject({
      code: 0,
      out: 'valid\n',
    });
    const refused = await runTesfaye(
      'presets',
      'edit',
      'day',
      '--set',
      'linkCaps.addis>hawassa=9000',
    );
    expect(refused).toMatchObject({code: 1});
    expect(refused.err).toContain('4000 Mbit/s');
    const conflict = await runTesfaye(
      'presets',
      'activate',
      'day',
      '--based-on',
      '1',
    );
    expect(conflict).toMatchObject({code: 1});
    expect(conflict.err).toMatch(/409 the current revision is \d/);
    expect(await runTesfaye('status', '--token', 'wrong')).toMatchObject({
      code: 1,
    });
  });

  it.each([
    [['status'], 'option --admin'],
    [['presets', 'list', '--admin', 'host:1', '--team', 't'], 'option --admin'],
    [['status', '--admin', FAKE_URL], 'option --team'],
    [
      ['presets', 'diff', 'a', '--admin', FAKE_URL, '--team', 't'],
      'expected 2',
    ],
    [
      ['presets', 'drop', 'a', '--admin', FAKE_URL, '--team', 't'],
      'found drop',
    ],
    [[...CHANGE, '--change-id', 'c'], 'option --based-on'],
    [['drain', 'zone'], 'missing required args'],
  ])(
    'rejects %j with exit code 2 (guards against running incomplete commands)',
    async (args, message) => {
      const {code, err} = await run(...args);
      expect({code, err}).toMatchObject({
        code: 2,
        err: expect.stringContaining(message),
      });
    },
  );

  it('retries a change with the same identifier and base revision after a lost reply (guards against a change applied twice)', async () => {
    const bodies = await startFake((res, call) => {
      if (call === 1) res.destroy();
      else if (call === 2) res.writeHead(504).end('{}');
      else if (call === 3) res.writeHead(503).end('{}');
      else res.end('{"revision":5}');
    });
    expect(await run(...CHANGE)).toMatchObject({code: 0});
    expect(bodies).toHaveLength(4);
    expect(new Set(bodies.map(b => JSON.stringify(b))).size).toBe(1);
    expect(bodies[0]).toMatchObject({basedOn: 4, action: 'drain'});
  });

  it('reports an unknown outcome with exit code 3 and how to retry (guards against a false rejection)', async () => {
    const bodies = await startFake((res, call) =>
      res.writeHead(call === 1 ? 504 : 503).end('{}'),
    );
    const {code, err} = await run(...CHANGE);
    expect(code).toBe(3);
    expect(err).toContain(
      `--change-id ${String(bodies[0]!.changeId)} --based-on 4`,
    );
  });

  it('reports a change that was not applied with exit code 1, an unreachable instance with 3 (guards against false alarms)', async () => {
    expect(await run(...CHANGE)).toMatchObject({code: 3});
    await startFake(res =>
      res.writeHead(503).end('{"message":"store unreachable"}'),
    );
    expect(await run(...CHANGE)).toMatchObject({code: 1});
  });
});
