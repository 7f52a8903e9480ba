import type { MeshRoute } from '@snipenotch/contracts'
import { expect } from 'chai'
import fc from 'fast-check'
import { createTrafficSplitter } from '../../src/serving/createTrafficSplitter.js'

const route = (parts: MeshRoute['parts']): MeshRoute => ({
  name: 'r',
  host: 'h',
  prefix: '/',
  idempotent: true,
  timeoutMs: 1000,
  targetLatencyMs: 200,
  maxAttempts: 2,
  priority: 1,
  isPublic: false,
  parts
})

describe('createTrafficSplitter', () => {
  it('keeps each part within two requests of its weighted share at any time (guards against drift from the weights)', () => {
    const weights = fc.array(fc.integer({ min: 0, max: 100 }), { minLength: 2, maxLength: 4 })
      .filter((found) => found.some((weight) => weight > 0))
    fc.assert(fc.property(weights, fc.double({ min: 0, max: 0.999, noNaN: true }), (found, start) => {
      const splitter = createTrafficSplitter(() => start)
      const split = route(found.map((weight, index) => ({ service: String(index), weight })))
      const total = found.reduce((sum, weight) => sum + weight, 0)
      const counts = found.map(() => 0)
      for (let sent = 1; sent <= 200; sent++) {
        const index = Number(splitter.pick(split))
        counts[index] = (counts[index] ?? 0) + 1
        for (const [part, weight] of found.entries()) {
          expect(Math.abs((counts[part] ?? 0) - sent * weight / total)).to.be.at.most(2)
        }
      }
    }), { numRuns: 60 })
  })

  it('approximates the weights over many nodes with one request each', () => {
    const counts = { a: 0, b: 0 }
    for (let node = 0; node < 100; node++) {
      const picked = createTrafficSplitter(() => node / 100).pick(route([{ service: 'a', weight: 1 }, { service: 'b', weight: 1 }]))
      counts[picked as 'a' | 'b'] += 1
    }
    expect(counts.a).to.be.within(35, 100)
  })
})
