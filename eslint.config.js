import gts from 'gts';

export default [
  {ignores: ['**/dist/**', 'target/**', 'journal/**', '**/node_modules/**', 'eslint.config.js']},
  ...gts,
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    languageOptions: {
      parserOptions: {project: ['./packages/*/tsconfig.json', './platform/tsconfig.json']},
    },
    rules: {
      // The compiler resolves imports; the rule below does not read "exports".
      'n/no-missing-import': 'off',
      'n/no-unpublished-import': 'off',
      '@typescript-eslint/no-explicit-any': 'error',
      // The test runner itself waits for the promises that its own calls return.
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            {from: 'package', package: 'node:test', name: ['test', 'describe', 'it']},
          ],
        },
      ],
      'no-restricted-syntax': [
        'error',
        {
          selector: 'TSEnumDeclaration',
          message: 'Use a constant object in place of an enum.',
        },
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Use a named export.',
        },
      ],
    },
  },
];
