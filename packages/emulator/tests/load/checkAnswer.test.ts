import { buildFiller } from '@snipenotch/stand-ins'
import { expect } from 'chai'
import { checkAnswer } from '../../src/load/checkAnswer.js'

const head = (nonce: string, filler: number, digest = 'd'): string =>
  JSON.stringify({ name: 'b1', version: 'v1', nonce, digest, bytes: 0, filler })
const large = (nonce: string, filler: number, sent = filler, fill = nonce): Buffer =>
  Buffer.concat([Buffer.from(head(nonce, filler) + '\n'), buildFiller(fill, sent)])

describe('checkAnswer', () => {
  const cases = [
    { name: 'a small answer', data: Buffer.from(head('n1', 0)), filler: 0, complete: true, body: 'whole' },
    { name: 'a large answer', data: large('n1', 5000), filler: 5000, complete: true, body: 'whole' },
    { name: 'an answer that ended early', data: large('n1', 5000, 10), filler: 5000, complete: false, body: 'truncated' },
    { name: 'a short answer presented as complete', data: large('n1', 5000, 10), filler: 5000, complete: true, body: 'accepted-short' },
    { name: 'a complete answer without its head', data: Buffer.from('{"na'), filler: 0, complete: true, body: 'accepted-short' },
    { name: 'the answer of another request', data: Buffer.from(head('n2', 0)), filler: 0, complete: true, body: 'crossed' },
    { name: 'filler of another request', data: large('n1', 5000, 5000, 'n2'), filler: 5000, complete: true, body: 'crossed' },
    { name: 'the digest of another body', data: Buffer.from(head('n1', 0, 'x')), filler: 0, complete: true, body: 'upload-differs' }
  ]
  for (const { name, data, filler, complete, body } of cases) {
    it(`judges ${name} as ${body}`, () => {
      expect(checkAnswer(data, complete, { nonces: ['n1'], digest: 'd', filler }).body).to.equal(body)
    })
  }
})
