import { expect } from 'chai'
import fc from 'fast-check'
import { createByteCollector } from '../../src/operations/createByteCollector.js'

describe('createByteCollector', () => {
  it('returns the bytes of all chunks in order', () => {
    const chunk = fc.oneof(fc.uint8Array({ maxLength: 20 }), fc.uint8Array({ minLength: 2000, maxLength: 5000 }))
    fc.assert(fc.property(fc.array(chunk, { maxLength: 30 }), (chunks) => {
      const collector = createByteCollector()
      for (const part of chunks) collector.add(Buffer.from(part))
      expect(collector.getSize()).to.equal(chunks.reduce((sum, { length }) => sum + length, 0))
      expect(collector.takeBody().equals(Buffer.concat(chunks))).to.equal(true)
    }))
  })

  it('reports memory in proportion to the bytes (guards against chunks of one byte that fill the heap)', () => {
    const collector = createByteCollector()
    let memory = 0
    for (let index = 0; index < 100_000; index++) memory += collector.add(Buffer.from('x'))
    expect(memory).to.be.within(100_000, 200_000)
  })
})
