import { createRequire } from 'node:module'
import type Csp from 'js-csp'

/**
 * The js-csp library. It is marked as an ES module but has no default export, so `import csp from 'js-csp'` is
 * undefined when a loader compiles to CommonJS, as tsx does under mocha. `require` behaves the same in both cases.
 */
export const csp = createRequire(import.meta.url)('js-csp') as typeof Csp
