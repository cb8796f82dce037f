import {cpSync, mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {main} from '@primrosestage/instance';
import {afterEach, describe, expect, it, vi} from 'vitest';
import {getProcessPort} from '../admin/start_instances.js';

/** Copies the Tesfaye example with a text replaced and returns the settings file of an instance. */
function createSettings(from: string | RegExp, to: string): string {
  const dir = mkdtempSync(path.join(tmpdir(), 'primrose-cli-'));
  cpSync('examples/tesfaye', dir, {recursive: true});
  const file = path.join(dir, 'system.toml');
  const text = readFileSync(file, 'utf8').replaceAll(
    /127\.20\.(\d+)\.(\d+):(\d+)/g,
    (_, zone, host, port) =>
      `127.50.${Number(zone) + 40}.${host}:${getProcessPort(Number(port))}`,
  );
  writeFileSync(file, text.replace(from, to));
  return path.join(dir, 'addis-a-1.toml');
}

async function run(...args: string[]) {
  let err = '';
  const stderr = vi.spyOn(process.stderr, 'write');
  const stdout = vi.spyOn(process.stdout, 'write').mockReturnValue(true);
  stderr.mockImplementation(text => ((err += String(text)), true));
  await main(['node', 'primrosestage', ...args]);
  stderr.mockRestore();
  stdout.mockRestore();
  const code = process.exitCode ?? 0;
  process.exitCode = 0;
  return {code, err};
}

afterEach(() => vi.restoreAllMocks());

describe('primrosestage', () => {
  it.each([
    [
      'actve = "day"',
      'active = "day"',
      'teams.0.actve: found "day", expected no such key',
    ],
    [
      'slots = "four"',
      'slots = 6',
      'teams.0.services.0.slots: found "four", expected number',
    ],
    [
      'shiftIntervalMs = "10s"',
      'shiftIntervalMs = 10000',
      'presets.day.shiftIntervalMs: found "10s", expected a whole number of milliseconds',
    ],
    [
      'id = "addis-a-9"',
      'id = "addis-a-1"',
      'id: found "addis-a-1", expected an id listed under instances',
    ],
    [
      'zone = "addis-a", addresses',
      'zone = "addis-b", addresses',
      'found "catalogue-addis-a-1", expected an endpoint id that occurs once',
    ],
    [
      'linkCaps = {"addis>hawassa" = 4001}\nheadroom',
      'headroom',
      "found 4001, expected at most the link's 4000 Mbit/s",
    ],
  ])(
    'reports %s with file, key, value and expected value (guards against error messages without the cause)',
    async (to, from, message) => {
      const file = createSettings(from, to);
      const {code, err} = await run('check', file);
      expect(code).toBe(2);
      expect(err).toContain(message);
      expect(err).toContain(path.dirname(file));
    },
  );

  it('accepts valid settings and rejects a missing option (guards against errors reported for valid settings)', async () => {
    expect(await run('check', createSettings('', ''))).toEqual({
      code: 0,
      err: '',
    });
    expect(await run('serve')).toMatchObject({
      code: 2,
      err: expect.stringContaining('--settings'),
    });
  });

  it('serves with an embedded store and without a platform (guards against a startup that requires a platform)', async () => {
    const file = createSettings('', '');
    const exit = vi.spyOn(process, 'exit').mockReturnValue(undefined as never);
    await run('serve', '--settings', file, '--embedded-store');
    const ready = await fetch(
      `http://127.50.41.1:${getProcessPort(7000)}/readyz`,
    );
    expect(ready.status).toBe(200);
    process.emit('SIGTERM');
    await expect.poll(() => exit.mock.calls, {timeout: 20_000}).toEqual([[0]]);
  });
});
