import { toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import { createTrueTime } from '../../src/duty/createTrueTime.js'

const EPOCH = 1_000_000
const time = toMilliseconds

describe('createTrueTime', () => {
  it('ignores a step of its own wall clock for half a minute (guards against windows that are counted twice)', () => {
    const trueTime = createTrueTime()
    for (let second = 0; second < 100; second += 1) {
      const step = second < 75 ? 0 : 40_000
      trueTime.observe(time(second * 1000), time(EPOCH + second * 1000 + step))
    }
    expect(trueTime.read(time(100_000))).to.equal(EPOCH + 100_000)
  })

  it('follows most hosts if its own wall clock stays wrong (guards against a holder that reports wrong windows)', () => {
    const trueTime = createTrueTime()
    trueTime.observe(time(0), time(EPOCH + 40_000))
    trueTime.observeHost('h-1', time(0), EPOCH + 3)
    expect(trueTime.read(time(0)), 'two hosts do not tell which one is wrong').to.equal(EPOCH + 40_000)
    trueTime.observeHost('h-2', time(0), EPOCH)
    expect(trueTime.read(time(50))).to.equal(EPOCH + 53)
  })

  it('takes over the time of the holder while it is fresh (guards against a suspended machine that counts into the past)', () => {
    const trueTime = createTrueTime()
    trueTime.observe(time(0), time(EPOCH))
    trueTime.synchronize(time(1000), EPOCH + 21_000)
    expect(trueTime.read(time(2000))).to.equal(EPOCH + 22_000)
    expect(trueTime.read(time(12_000))).to.equal(EPOCH + 12_000)
  })
})
