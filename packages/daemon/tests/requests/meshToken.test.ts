import { expect } from 'chai'
import { createTokenVerifier, signMeshToken } from '../../src/requests/meshToken.js'

describe('meshToken', () => {
  const isValid = createTokenVerifier('a'.repeat(32))
  const token = signMeshToken('a'.repeat(32))
  const cases: Array<[string, string | undefined, boolean]> = [
    ['own token', token, true],
    ['no token', undefined, false],
    ['empty token', '', false],
    ['the secret itself', 'a'.repeat(32), false],
    ['token of another secret', signMeshToken('b'.repeat(32)), false],
    ['longer token', `${token}0`, false],
    ['wide characters of the same length', '\u0161'.repeat(token.length), false]
  ]
  for (const [name, text, expected] of cases) {
    it(`${name}: ${expected ? 'valid' : 'invalid'} (guards against forged forwarded requests)`, () => {
      expect(isValid(text)).to.equal(expected)
    })
  }
})
