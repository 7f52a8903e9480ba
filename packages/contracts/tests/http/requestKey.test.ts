import { expect } from 'chai'
import fc from 'fast-check'
import { createRequestKey, formatRequestKey, parseRequestKey } from '../../src/http/requestKey.js'

describe('requestKey', () => {
  it('survives formatting and parsing', () => {
    const key = createRequestKey('krakow-1', 1_765_000_000_000_123, 1_765_000_000_000.7)
    expect(parseRequestKey(formatRequestKey(key))).to.deep.equal(key)
  })

  for (const text of ['', 'a', 'krakow-1.1.2', 'krakow-1.1.2.xyz', 'Krakow.1.2.' + '0'.repeat(32), 'krakow-1.-1.2.' + '0'.repeat(32)]) {
    it(`refuses "${text}"`, () => { expect(parseRequestKey(text)).to.equal(undefined) })
  }

  it('parses only text that formats back to itself (guards against two texts for one key)', () => {
    const nonce = fc.stringMatching(/^[0-9a-f]{30,34}$/)
    fc.assert(fc.property(fc.nat(), fc.nat(), nonce, (incarnation, issuedAt, hex) => {
      const text = `krakow-1.${incarnation}.${issuedAt}.${hex}`
      const key = parseRequestKey(text)
      expect(key === undefined ? hex.length !== 32 : formatRequestKey(key) === text).to.equal(true)
    }))
  })
})
