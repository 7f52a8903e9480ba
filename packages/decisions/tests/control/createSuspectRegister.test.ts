import type { Milliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import { createSuspectRegister, MAX_SUSPECTS } from '../../src/index.js'

describe('createSuspectRegister', () => {
  it('limits the number of fingerprints (guards against unbounded memory use)', () => {
    const register = createSuspectRegister()
    for (let index = 0; index < MAX_SUSPECTS + 10; index++) {
      register.apply({ fingerprint: `f${index}`, host: 'a', incarnation: 1, crash: 1, observedAt: 0 }, 0 as Milliseconds)
    }
    expect(register.list().length).to.equal(MAX_SUSPECTS)
    expect(register.list().some(({ fingerprint }) => fingerprint === 'f0')).to.equal(false)
  })
})
