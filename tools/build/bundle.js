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
  banner: { js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url)" },
  logLevel: 'warning'
})
