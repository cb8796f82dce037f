import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {defineConfig} from 'vitest/config';

const root = fileURLToPath(new URL('.', import.meta.url));

/** Tests that measure the memory of a process under load; they run one at a time, after all others. */
const MEMORY_TESTS = [
  'platform/test/crowds/**/*.test.ts',
  'platform/test/large_bodies.test.ts',
];

export default defineConfig({
  resolve: {
    alias: [
      {
        find: '@primrosestage/instance/direct',
        replacement: `${root}packages/instance/src/direct/index.ts`,
      },
      {
        find: /^@primrosestage\/(\w+)$/,
        replacement: `${root}packages/$1/src/index.ts`,
      },
    ],
  },
  test: {
    testTimeout: 60_000,
    hookTimeout: 60_000,
    testNamePattern: getNamePatternWithoutKnownFailures(),
    projects: [
      {
        extends: true,
        test: {
          name: 'parallel',
          include: [
            'packages/*/test/**/*.test.ts',
            'platform/test/**/*.test.ts',
          ],
          exclude: MEMORY_TESTS,
          sequence: {groupOrder: 0},
        },
      },
      {
        extends: true,
        test: {
          name: 'memory',
          include: MEMORY_TESTS,
          maxWorkers: 1,
          sequence: {groupOrder: 1},
        },
      },
    ],
  },
});

/** Returns a pattern that passes over exactly the tests listed in KNOWN-RED.txt. */
function getNamePatternWithoutKnownFailures(): RegExp | undefined {
  const names = readFileSync(`${root}KNOWN-RED.txt`, 'utf8')
    .split('\n')
    .filter(line => line.trim() !== '')
    .map(line => (line.split('|')[0] ?? '').trim());
  if (names.length === 0) return undefined;
  const escaped = names.map(name =>
    name.replace(/[.*+?^${}()|[\]\\]/g, '\\$&'),
  );
  return new RegExp(`^(?!(?:${escaped.join('|')})$)`);
}
