import { expect } from 'chai'
import { filterResponseHeaders, filterRequestHeaders } from '../../src/requests/filterHeaders.js'

describe('filterHeaders', () => {
  const cases: Array<[string, string[], string | undefined, string[]]> = [
    ['hop-by-hop headers', ['Connection', 'keep-alive', 'Keep-Alive', 'timeout=5', 'TE', 'trailers', 'Upgrade', 'x', 'A', '1'], 'keep-alive', ['A', '1']],
    ['headers named by Connection', ['X-One', '1', 'x-two', '2', 'connection', 'close, X-One'], 'close, X-One', ['x-two', '2']],
    ['control headers in any case', ['Snipenotch-Token', 'x', 'snipenotch-outcome', 'ran', 'b', '2'], undefined, ['b', '2']],
    ['repeated headers', ['set-cookie', 'a', 'set-cookie', 'b'], undefined, ['set-cookie', 'a', 'set-cookie', 'b']],
    ['transfer coding and expectation', ['Transfer-Encoding', 'chunked', 'Expect', '100-continue'], undefined, []]
  ]
  for (const [name, raw, connection, expected] of cases) {
    it(`request: ${name} (guards against forged control headers and forwarded hop-by-hop headers)`, () => {
      expect(filterRequestHeaders(raw, connection)).to.deep.equal(expected)
    })
  }

  it('response: keeps only outcome, reason, key and version (guards against internal headers sent to callers)', () => {
    const raw = ['snipenotch-outcome', 'ran', 'snipenotch-load', '1,2,3', 'snipenotch-version', 'v1', 'snipenotch-request', '4']
    expect(filterResponseHeaders(raw, undefined)).to.deep.equal(['snipenotch-outcome', 'ran', 'snipenotch-version', 'v1'])
  })
})
