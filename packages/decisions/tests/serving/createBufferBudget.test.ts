import { expect } from 'chai'
import fc from 'fast-check'
import { createBufferBudget } from '../../src/serving/createBufferBudget.js'

describe('createBufferBudget', () => {
  it('drops the largest growing buffer first, also the one that grows (guards against endless responses that end the requests of others)', () => {
    const budget = createBufferBudget<string>(100)
    expect(budget.grow('small', 20)).to.deep.equal([])
    expect(budget.grow('large', 60)).to.deep.equal([])
    expect(budget.grow('small', 30)).to.deep.equal(['large'])
    expect(budget.getBytes()).to.equal(50)
    expect(budget.grow('huge', 51)).to.deep.equal(['huge'])
    expect(budget.getBytes()).to.equal(50)
  })

  it('keeps complete buffers, which still count', () => {
    const budget = createBufferBudget<string>(100)
    budget.grow('complete', 80)
    budget.settle('complete')
    expect(budget.grow('next', 30)).to.deep.equal(['next'])
    budget.release('complete')
    expect(budget.grow('next', 30)).to.deep.equal([])
  })

  it('never exceeds its limit, and counts nothing once all buffers are released', () => {
    const step = fc.record({
      holder: fc.integer({ min: 0, max: 9 }), bytes: fc.integer({ min: 0, max: 50 }), isEnd: fc.boolean()
    })
    fc.assert(fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
      const budget = createBufferBudget<number>(200)
      for (const { holder, bytes, isEnd } of steps) {
        if (isEnd) budget.release(holder)
        else budget.grow(holder, bytes)
        expect(budget.getBytes()).to.be.within(0, 200)
      }
      for (let holder = 0; holder < 10; holder++) budget.release(holder)
      expect(budget.getBytes()).to.equal(0)
    }))
  })
})
