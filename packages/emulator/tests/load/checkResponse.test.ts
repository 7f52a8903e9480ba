import { buildFiller } from '@snipenotch/stand-ins'
import { expect } from 'chai'
import { checkResponse } from '../../src/load/checkResponse.js'

const head = (nonce: string, filler: number, digest = 'd'): string =>
  JSON.stringify({ name: 'b1', version: 'v1', nonce, digest, bytes: 0, filler })
const large = (nonce: string, filler: number, sent = filler, fill = nonce): Buffer =>
  Buffer.concat([Buffer.from(head(nonce, filler) + '\n'), buildFiller(fill, sent)])

describe('checkResponse', () => {
  const cases = [
    { name: 'a small response', data: Buffer.from(head('n1', 0)), filler: 0, complete: true, body: 'whole' },
    { name: 'a large response', data: large('n1', 5000), filler: 5000, complete: true, body: 'whole' },
    { name: 'a response that ended early', data: large('n1', 5000, 10), filler: 5000, complete: false, body: 'truncated' },
    { name: 'a short response that is complete for HTTP', data: large('n1', 5000, 10), filler: 5000, complete: true, body: 'accepted-short' },
    { name: 'a complete response without its JSON line', data: Buffer.from('{"na'), filler: 0, complete: true, body: 'accepted-short' },
    { name: 'the response to another request', data: Buffer.from(head('n2', 0)), filler: 0, complete: true, body: 'crossed' },
    { name: 'the filler of another request', data: large('n1', 5000, 5000, 'n2'), filler: 5000, complete: true, body: 'crossed' },
    { name: 'the digest of another request body', data: Buffer.from(head('n1', 0, 'x')), filler: 0, complete: true, body: 'upload-differs' }
  ]
  for (const { name, data, filler, complete, body } of cases) {
    it(`classifies ${name} as ${body}`, () => {
      expect(checkResponse(data, complete, { nonces: ['n1'], digest: 'd', filler }).body).to.equal(body)
    })
  }
})
