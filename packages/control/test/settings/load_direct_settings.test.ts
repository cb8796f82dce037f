import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {loadDirectState} from '@primrosestage/control';
import {describe, expect, it} from 'vitest';

const EXAMPLE = readFileSync('examples/direct/state.toml', 'utf8');

/** Returns the message for the example with further lines. */
function getMessage(lines: string): string {
  const dir = mkdtempSync(path.join(tmpdir(), 'primrose-state-'));
  const file = path.join(dir, 'state.toml');
  writeFileSync(file, `${EXAMPLE}\n${lines}\n`);
  try {
    loadDirectState(file);
    return '';
  } catch (err) {
    return (err as Error).message;
  }
}

describe('loadDirectState', () => {
  it.each([
    ['a key that is no list', '[[accounts]]\nname = "a"\nkeys = "secret"'],
    ['a misspelled field', '[[accounts]]\nname = "a"\nkey = ["secret"]'],
    ['a misspelled table', '[[acounts]]\nname = "a"\nkeys = ["secret"]'],
    ['a table in place of a list', '[accounts]\nkeys = ["secret"]'],
    ['a syntax error', '[[accounts]]\nname = "a"\nkeys = ["secret" "b"]'],
  ])('guards against printing a key because of %s', (_, lines) => {
    const message = getMessage(lines);
    expect(message).toMatch(/found .*, expected/);
    expect(message).not.toContain('secret');
  });

  it('guards against hiding values that help to find a mistake', () => {
    const lines = '[[accounts]]\nname = "a"\nkeys = ["k"]\nburst = -2';
    expect(getMessage(lines)).toContain('accounts.0.burst: found -2');
    expect(getMessage('[limits]\nmaxBodyBytes = "x"')).toContain(
      'limits.maxBodyBytes: found "x"',
    );
  });
});
