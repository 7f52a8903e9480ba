import { expect } from 'chai'
import fc from 'fast-check'
import { createRequestKey, formatRequestKey, parseRequestKey } from '../../src/http/requestKey.js'

describe('requestKey', () => {
  it('parses a formatted key to the same key', () => {
    const key = createRequestKey('krakow-1', 1_765_000_000_000_123, 1_765_000_000_000.7)
    expect(parseRequestKey(formatRequestKey(key))).to.deep.equal(key)
  })

  for (const text of ['', 'a', 'krakow-1.1.2', 'krakow-1.1.2.xyz', 'Krakow.1.2.' + '0'.repeat(32), 'krakow-1.-1.2.' + '0'.repeat(32)]) {
    it(`rejects "${text}"`, () => { expect(parseRequestKey(text)).to.equal(undefined) })
  }

  it('parses only text that formats to the same text (guards against two representations of one key)', () => {
    const nonces = fc.stringMatching(/^[0-9a-f]{30,34}$/)
    fc.assert(fc.property(fc.nat(), fc.nat(), nonces, (incarnation, issuedAt, nonce) => {
      const text = `krakow-1.${incarnation}.${issuedAt}.${nonce}`
      const key = parseRequestKey(text)
      expect(key === undefined ? nonce.length !== 32 : formatRequestKey(key) === text).to.equal(true)
    }))
  })
})
