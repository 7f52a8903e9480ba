import { toMilliseconds, type CrashSuspect } from '@snipenotch/contracts'
import { expect } from 'chai'
import { createSuspectRegister, MAX_SUSPECTS, QUARANTINE_MS, type SuspectRegister } from '../../src/index.js'

const at = toMilliseconds

/** Records a crash of the server on `host` with a request with the fingerprint in flight. */
function crash (register: SuspectRegister, fingerprint: string, host: string, now: number): boolean {
  const suspect: CrashSuspect = { fingerprint, host, incarnation: 1, crash: 1, observedAt: now }
  return register.apply(suspect, at(now))
}

describe('createSuspectRegister', () => {
  it('limits the number of fingerprints (guards against unbounded memory use)', () => {
    const register = createSuspectRegister()
    for (let index = 0; index < MAX_SUSPECTS + 10; index++) crash(register, `f${index}`, 'a', 0)
    expect(register.list().length).to.equal(MAX_SUSPECTS)
    expect(register.list().some(({ fingerprint }) => fingerprint === 'f0')).to.equal(false)
  })

  it('keeps a quarantined fingerprint (guards against a flood of suspects that ends the quarantine of the proved one)', () => {
    const register = createSuspectRegister()
    crash(register, 'proved', 'a', 0)
    crash(register, 'proved', 'b', 1)
    for (let index = 0; index < 3 * MAX_SUSPECTS; index++) crash(register, `f${index}`, 'c', 2)
    expect(register.isQuarantined('proved', at(3))).to.equal(true)
    expect(register.list()[0]?.fingerprint).to.equal('proved')
  })

  it('quarantines from the second crash on, twice as long after each further one, and then until the next success', () => {
    const register = createSuspectRegister()
    const listStates = (...times: number[]): Array<string | undefined> =>
      times.map((now) => register.findState('f', at(now))?.kind)
    expect(listStates(0)).to.deep.equal([undefined])
    crash(register, 'f', 'a', 0)
    expect(listStates(0)).to.deep.equal(['suspect'])
    crash(register, 'f', 'b', 10)
    expect(listStates(10, QUARANTINE_MS + 9, QUARANTINE_MS + 10)).to.deep.equal(['quarantined', 'quarantined', 'probation'])
    crash(register, 'f', 'c', 1000)
    expect(listStates(2 * QUARANTINE_MS + 999, 2 * QUARANTINE_MS + 1000)).to.deep.equal(['quarantined', 'probation'])
    expect(register.clear('f', at(2 * QUARANTINE_MS + 1100))).to.equal(true)
    expect(listStates(2 * QUARANTINE_MS + 1100)).to.deep.equal([undefined])
  })

  it('counts a crash that several nodes report once (guards against a request refused after one crash)', () => {
    const register = createSuspectRegister()
    expect([crash(register, 'f', 'a', 0), crash(register, 'f', 'a', 5)]).to.deep.equal([true, false])
    expect(register.findState('f', at(5))?.kind).to.equal('suspect')
  })

  it('ignores late news of a crash before a success, and a success before a crash (guards against reports that arrive out of order)', () => {
    const register = createSuspectRegister()
    crash(register, 'f', 'a', 100)
    expect(register.clear('f', at(50))).to.equal(false)
    expect(register.clear('f', at(200))).to.equal(true)
    expect(crash(register, 'f', 'b', 150)).to.equal(false)
    expect(crash(register, 'f', 'b', 250)).to.equal(true)
  })

  const selections: Array<[string, string[], string[], string[]]> = [
    ['the only one', [], ['cleared'], ['cleared']],
    ['the one that was in flight at an earlier crash', ['known'], ['a', 'known', 'b'], ['known']],
    ['all that are new', [], ['a', 'b', 'a'], ['a', 'b']],
    ['none that has succeeded since an earlier crash', [], ['a', 'cleared'], ['a']]
  ]
  for (const [what, known, inFlight, expected] of selections) {
    it(`blames, of the requests in flight at a crash, ${what} (guards against harmless requests that are refused)`, () => {
      const register = createSuspectRegister()
      crash(register, 'cleared', 'x', 0)
      register.clear('cleared', at(1))
      for (const fingerprint of known) crash(register, fingerprint, 'x', 2)
      expect(register.selectSuspects(inFlight)).to.deep.equal(expected)
    })
  }

  it('forgets a single crash after the time of a quarantine, and a probation after ten minutes', () => {
    const register = createSuspectRegister()
    crash(register, 'once', 'a', 0)
    crash(register, 'twice', 'a', 0)
    crash(register, 'twice', 'b', 0)
    register.expire(at(QUARANTINE_MS))
    expect(register.list().map(({ fingerprint }) => fingerprint)).to.deep.equal(['twice', 'twice'])
    register.expire(at(QUARANTINE_MS + 600_000))
    expect(register.count()).to.equal(0)
  })
})
