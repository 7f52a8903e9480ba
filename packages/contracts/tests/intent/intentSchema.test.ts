import { expect } from 'chai'
import fc from 'fast-check'
import { checkIntents } from '../../src/intent/checkIntents.js'
import { intentSchema } from '../../src/intent/intentSchema.js'
import { formatProblem } from '../../src/errors/Problem.js'
import { parseTomlWithSchema } from '../../src/errors/parseTomlWithSchema.js'

const VALID = `service = "clocks"
stable = "v1"
[[route]]
name = "clock-status"
method = "GET"
path = "/clocks"
idempotent = true
`

const INVALID: ReadonlyArray<{ name: string, text: string }> = [
  { name: 'unknown top-level key', text: VALID.replace('stable', 'stabel') },
  { name: 'unknown key in a route', text: VALID.replace('idempotent', 'idempotant') },
  { name: 'unknown limit', text: VALID + '[limits]\nslot = 3\n' },
  { name: 'slots below one', text: VALID + '[limits]\nslots = 0\n' },
  { name: 'path without a slash', text: VALID.replace('/clocks', 'clocks') },
  { name: 'unknown method', text: VALID.replace('GET', 'FETCH') },
  { name: 'rollout without a finish time', text: VALID + '[rollout]\nto = "v2"\n' },
  { name: 'finish time that is not a date', text: VALID + '[rollout]\nto = "v2"\nfinish_by = "tomorrow"\n' },
  { name: 'name with a dot', text: VALID.replace('"clocks"', '"a.b"') },
  { name: 'text that is not TOML', text: 'service = = 1' }
]

describe('intentSchema', () => {
  it('applies defaults (guards against limits left undefined by omitted keys)', () => {
    expect(parseTomlWithSchema(intentSchema, VALID, 'a.toml').unwrap()).toMatchSnapshot()
  })

  for (const { name, text } of INVALID) {
    it(`reports ${name} with its location, the value found and what was expected`, () => {
      const parsed = parseTomlWithSchema(intentSchema, text, 'a.toml')
      expect(parsed.isErr()).to.equal(true)
      if (parsed.isErr()) expect(parsed.error.map(formatProblem).join('\n')).toMatchSnapshot()
    })
  }

  it('reports problems and never throws on arbitrary text (guards against a crash on a corrupt file)', () => {
    fc.assert(fc.property(fc.oneof(fc.string(), fc.string().map((text) => VALID + text)), (text) => {
      const parsed = parseTomlWithSchema(intentSchema, text, 'a.toml')
      if (parsed.isErr()) expect(parsed.error).to.have.length.above(0)
    }), { numRuns: 500 })
  })
})

describe('checkIntents', () => {
  const parse = (text: string) => parseTomlWithSchema(intentSchema, text, '').unwrap()
  const other = VALID.replace('"clocks"', '"parts"').replace('clock-status', 'part-list').replace('/clocks', '/parts')

  const cases: ReadonlyArray<{ name: string, texts: string[], problems: number }> = [
    { name: 'accepts two services', texts: [VALID, other], problems: 0 },
    { name: 'rejects a service that is declared twice, and its routes', texts: [VALID, VALID], problems: 3 },
    { name: 'rejects a duplicate route name', texts: [VALID, other.replace('part-list', 'clock-status')], problems: 1 },
    { name: 'rejects a duplicate pair of method and path', texts: [VALID, other.replace('/parts', '/clocks')], problems: 1 },
    { name: 'rejects a route to an undeclared service', texts: [VALID + 'service = "clokcs"\n'], problems: 1 },
    { name: 'rejects a rollout to the stable version', texts: [VALID + '[rollout]\nto = "v1"\nfinish_by = 2026-12-04T18:00:00Z\n'], problems: 1 }
  ]
  for (const { name, texts, problems } of cases) {
    it(name, () => {
      const found = checkIntents(texts.map((text, index) => ({ file: `${index}.toml`, intent: parse(text) })))
      expect(found.map(formatProblem)).to.have.length(problems)
      expect(found.map(formatProblem)).toMatchSnapshot()
    })
  }
})
