import neostandard from 'neostandard'

// Formatting only: Standard style through its stylistic rules, which `eslint --fix` applies.
const formatting = neostandard({ ts: true }).map((entry) => ({
  ...entry,
  rules: Object.fromEntries(
    Object.entries(entry.rules ?? {}).filter(([name]) => name.startsWith('@stylistic/'))
  )
}))

export default [
  { ignores: ['**/dist/**', 'target/**', '**/node_modules/**', 'coverage/**'] },
  { linterOptions: { reportUnusedDisableDirectives: 'off' } },
  ...formatting,
  { rules: { '@stylistic/max-len': ['error', { code: 120, ignoreUrls: true, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreRegExpLiterals: true }] } }
]
