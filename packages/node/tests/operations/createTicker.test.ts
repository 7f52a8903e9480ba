import { createSystemClock } from '@snipenotch/contracts'
import { expect } from 'chai'
import { createTicker, type Ticker } from '../../src/operations/createTicker.js'
import { awaitCondition } from '../startTestMesh.js'

describe('createTicker', () => {
  let ticker: Ticker
  afterEach(() => { ticker.close() })

  it('runs the tasks behind one that throws, in each tick (guards against checks that stop with an unrelated error)', async () => {
    const errors: unknown[] = []
    let runs = 0
    let faults = 0
    ticker = createTicker(createSystemClock(), () => undefined, (error) => { errors.push(error) })
    ticker.add(1, () => {
      faults += 1
      throw new Error('defect')
    })
    ticker.add(1, () => { runs += 1 })
    await awaitCondition('the second task runs', () => runs === 3)
    expect([faults, errors.length]).to.deep.equal([3, 3])
  })
})
