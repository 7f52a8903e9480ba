import { createRequire } from 'node:module'
import type Csp from 'js-csp'

/**
 * The js-csp library. It marks itself as an ES module without a default export, so that `import csp from 'js-csp'` is
 * undefined where a loader compiles to CommonJS, as tsx does under mocha; `require` is the same everywhere.
 */
export const csp = createRequire(import.meta.url)('js-csp') as typeof Csp
