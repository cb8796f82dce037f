import gts from 'gts';
import tsdoc from 'eslint-plugin-tsdoc';

export default [
  {
    ignores: [
      'eslint.config.js',
      'platform/build.mjs',
      'target/**',
      '**/dist/**',
      '**/node_modules/**',
    ],
  },
  ...gts,
  {
    files: ['**/*.ts'],
    languageOptions: {parserOptions: {project: './tsconfig.eslint.json'}},
    plugins: {tsdoc},
    rules: {'tsdoc/syntax': 'error'},
  },
  {
    files: [
      'packages/*/test/**/*.ts',
      'platform/test/**/*.ts',
      'platform/build.mjs',
      'vitest.config.ts',
    ],
    rules: {'n/no-unpublished-import': 'off'},
  },
  {
    rules: {
      'no-restricted-syntax': [
        'error',
        {
          selector: "ThrowStatement > NewExpression[callee.name='Error']",
          message: 'Throw a StepError, which names its step and peer.',
        },
      ],
    },
  },
  {
    files: ['packages/steering/src/**/*.ts'],
    rules: {
      'no-restricted-globals': [
        'error',
        'setTimeout',
        'setInterval',
        'Date',
        'performance',
      ],
      'no-restricted-properties': [
        'error',
        {
          object: 'Math',
          property: 'random',
          message: 'Take a generator as an argument.',
        },
      ],
    },
  },
];
