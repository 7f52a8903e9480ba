import neostandard from 'neostandard'
import tseslint from 'typescript-eslint'
import { functionVerb } from './tools/lint/functionVerb.js'

export default tseslint.config(
  { ignores: ['**/dist/**', 'target/**', '**/node_modules/**', 'coverage/**'] },
  ...neostandard({ ts: true, noStyle: true }),
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    extends: [tseslint.configs.strictTypeChecked],
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    plugins: { snipenotch: { rules: { 'function-verb': functionVerb } } },
    rules: {
      'snipenotch/function-verb': 'error',
      // Numbers in messages read well without an explicit conversion.
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true, allowBoolean: true }],
      // The type checker proves exhaustiveness; a default branch would hide a new variant.
      '@typescript-eslint/switch-exhaustiveness-check': ['error', { considerDefaultExhaustiveForUnions: true }],
      '@typescript-eslint/no-confusing-void-expression': ['error', { ignoreArrowShorthand: true }],
      // ts-results exposes its value as `val`, and one type parameter is often enough to name the caller's expectation.
      '@typescript-eslint/no-unnecessary-type-parameters': 'off',
      // Exported functions state their whole shape for readers and for faster declaration emit.
      '@typescript-eslint/explicit-module-boundary-types': 'error',
      complexity: ['error', 16],
      'max-lines': ['error', { max: 320, skipBlankLines: true, skipComments: true }]
    }
  },
  {
    files: ['packages/*/tests/**/*.ts', 'platform/tests/**/*.ts'],
    rules: {
      // chai assertions are property reads.
      '@typescript-eslint/no-unused-expressions': 'off',
      'max-lines': 'off',
      // Tests look into values whose shape the assertion itself checks.
      '@typescript-eslint/no-non-null-assertion': 'off',
      'snipenotch/function-verb': 'off'
    }
  }
)
