import { build } from 'esbuild'

// One file loads faster than hundreds of modules, so a node restarts faster. Workspace packages resolve to source.
await build({
  entryPoints: ['packages/node/src/bin/snipenotchNode.ts'],
  outfile: 'target/snipenotch-node.mjs',
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  conditions: ['source'],
  // The package's main entry also creates formatters for log files on load; a node never writes such files.
  alias: { 'hdr-histogram-js': 'hdr-histogram-js/dist/HistogramBuilder.js' },
  minifyWhitespace: true,
  minifySyntax: true,
  banner: { js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url)" },
  logLevel: 'warning'
})
