import { expect } from 'chai'
import { formatProblem } from '../../src/errors/Problem.js'
import { parseTomlWithSchema } from '../../src/errors/parseTomlWithSchema.js'
import { daemonSettingsSchema } from '../../src/settings/daemonSettingsSchema.js'

const VALID = `host = "krakow-1"
data_centre = "krakow"
[listen]
requests = "127.0.0.1:8080"
peers = "127.0.0.1:8081"
admin = "127.0.0.1:8082"
[platform]
table = "127.0.0.1:9000"
objects = "127.0.0.1:9001"
[secrets]
mesh = "0123456789abcdef0123456789abcdef"
operators = "0123456789abcdef0123456789abcdef"
`

const INVALID: ReadonlyArray<{ name: string, text: string }> = [
  { name: 'missing host', text: VALID.replace('host = "krakow-1"\n', '') },
  { name: 'misspelled key', text: VALID.replace('data_centre', 'data_center') },
  { name: 'host name instead of an address', text: VALID.replace('127.0.0.1:8080', 'localhost:8080') },
  { name: 'short secret', text: VALID.replace('mesh = "0123456789abcdef0123456789abcdef"', 'mesh = "abc"') },
  { name: 'timeout of the wrong type', text: VALID.replace('[secrets]', 'timeout_ms = "1s"\n[secrets]') },
  { name: 'unknown log level', text: VALID + '[log]\nlevel = "loud"\n' }
]

describe('daemonSettingsSchema', () => {
  it('applies defaults', () => {
    expect(parseTomlWithSchema(daemonSettingsSchema, VALID, 'd.toml').unwrap()).toMatchSnapshot()
  })

  for (const { name, text } of INVALID) {
    it(`reports ${name} (guards against a daemon that starts with partly invalid settings)`, () => {
      const parsed = parseTomlWithSchema(daemonSettingsSchema, text, 'd.toml')
      expect(parsed.isErr()).to.equal(true)
      if (parsed.isErr()) expect(parsed.error.map(formatProblem).join('\n')).toMatchSnapshot()
    })
  }
})
