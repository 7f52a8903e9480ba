import { readFileSync } from 'node:fs'
import { EVENTS } from '@snipenotch/contracts'

// Checks that docs/events.md and the catalogue EVENTS contain the same events.
const eventsPage = readFileSync(new URL('../../docs/events.md', import.meta.url), 'utf8')
const documented = new Map([...eventsPage.matchAll(/^\| (\d+) \| `(\w+)` \| (\w+) \| ([^|]+) \|/gm)]
  .map(([, number, name, level, text]) => [name, `${number} ${level} ${text.trim()}`]))
const problems = []
for (const [name, { number, level, text }] of Object.entries(EVENTS)) {
  const expected = `${number} ${level} ${text}`
  const found = documented.get(name)
  if (found !== expected) problems.push(`event ${name}: found "${found ?? 'nothing'}" in docs/events.md, expected "${expected}"`)
  documented.delete(name)
}
for (const name of documented.keys()) problems.push(`event ${name}: found in docs/events.md, expected in the catalogue EVENTS`)
const numbers = Object.values(EVENTS).map(({ number }) => number)
if (new Set(numbers).size !== numbers.length) problems.push('two events share a number')
for (const problem of problems) console.error(problem)
if (documented.size === 0 && problems.length === 0) console.log(`${numbers.length} events documented`)
process.exit(problems.length === 0 ? 0 : 1)
