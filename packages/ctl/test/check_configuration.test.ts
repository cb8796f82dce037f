import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {main} from '@primrosestage/ctl';
import {describe, expect, it, vi} from 'vitest';

const EXAMPLE = 'examples/direct/state.toml';
const ACCOUNT = '[[accounts]]\nname = "till"\nkeys = ["secret-1"]\n';

async function check(...args: string[]) {
  let out = '';
  let err = '';
  const stdout = vi.spyOn(process.stdout, 'write');
  const stderr = vi.spyOn(process.stderr, 'write');
  stdout.mockImplementation(text => ((out += String(text)), true));
  stderr.mockImplementation(text => ((err += String(text)), true));
  await main(['node', 'primrosectl', 'check-configuration', ...args]);
  stdout.mockRestore();
  stderr.mockRestore();
  const code = process.exitCode;
  process.exitCode = 0;
  return {code, out, err};
}

/** Writes the example with a text replaced and further lines. */
function writeState(from: string, to: string, lines = ''): string {
  const dir = mkdtempSync(path.join(tmpdir(), 'primrose-check-'));
  const file = path.join(dir, 'state.toml');
  const text = readFileSync(EXAMPLE, 'utf8').replace(from, to);
  writeFileSync(file, `${text}\n${lines}`);
  return file;
}

describe('primrosectl check-configuration', () => {
  it('guards against findings in the example', async () => {
    const result = await check(EXAMPLE);
    expect(result).toEqual({code: 0, out: 'valid\n', err: ''});
  });

  it.each([
    ['a schema issue', 'timeoutMs = 1000', 'timeoutMs = -1', 'invalid-value'],
    ['an issue of the core', '"catalogue"', '"none"', 'unknown-service'],
    [
      'a service listed twice',
      '[[services]]',
      '[[services]]\nname = "catalogue"\n[[services]]',
      'duplicate-name',
    ],
  ])('guards against missing %s', async (_, from, to, code) => {
    const file = writeState(from, to);
    const {out, ...result} = await check(file, '--json');
    expect(result).toEqual({code: 1, err: ''});
    expect(JSON.parse(out)).toContainEqual(
      expect.objectContaining({severity: 'error', code}),
    );
    expect((await check(file)).out).toContain(`error ${code}: `);
  });

  it('guards against differences that count as findings, and against printed keys', async () => {
    const account = ACCOUNT.replace('secret-1', 'secret-2');
    const inForce = writeState('', '', ACCOUNT);
    const next = writeState('version = 1', 'version = 2', account);
    const {code, out} = await check(next, '--in-force', inForce);
    expect(code).toBe(0);
    expect(out).toBe(
      'difference: accounts.till.keys: 1 added, 1 removed, in force: 1 keys\nvalid\n',
    );
    const back = await check(inForce, '--in-force', next);
    expect(back.code).toBe(1);
    expect(back.out).toContain('error version-not-higher: version: found 1');
  });

  it('guards against reporting a file as checked that could not be read', async () => {
    const broken = writeState('version = 1', 'version = = 1', ACCOUNT);
    const invalid = writeState('version = 1', 'version = 0', ACCOUNT);
    for (const args of [
      ['none.toml'],
      [broken],
      [EXAMPLE, '--in-force', 'none.toml'],
      [EXAMPLE, '--in-force', invalid],
      [],
    ]) {
      const {code, out, err} = await check(...args);
      expect({code, out}).toEqual({code: 2, out: ''});
      expect(err).not.toBe('');
      expect(err).not.toContain('secret');
    }
  });
});
