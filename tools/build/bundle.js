import { build } from 'esbuild'

// One file starts faster than hundreds: a restarted node is back sooner. The workspace packages are read from source.
await build({
  entryPoints: ['packages/node/src/bin/snipenotchNode.ts'],
  outfile: 'target/snipenotch-node.mjs',
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  conditions: ['source'],
  // The package's own entry also makes formatters for log files as it is loaded, which a node never writes.
  alias: { 'hdr-histogram-js': 'hdr-histogram-js/dist/HistogramBuilder.js' },
  minifyWhitespace: true,
  minifySyntax: true,
  banner: { js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url)" },
  logLevel: 'warning'
})
