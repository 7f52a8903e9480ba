import { toMilliseconds, type LeaseRow } from '@snipenotch/contracts'
import { expect } from 'chai'
import { decideLease, isLeaseValid, LEASE_DURATION_MS, LEASE_RENEWAL_MS, type LeaseInput } from '../../src/index.js'

const WALL = 1_000_000

interface Times { seenSince?: number, extendedAt?: number, now?: number, wall?: number }

function decide (row: LeaseRow | undefined, parts: Times) {
  const { seenSince = 0, extendedAt, now = 0, wall = WALL } = parts
  const input: LeaseInput = {
    holder: 'krakow-1/5',
    reading: { revision: row === undefined ? 0 : 9, row },
    seenSince: toMilliseconds(seenSince),
    extendedAt: extendedAt === undefined ? undefined : toMilliseconds(extendedAt),
    now: toMilliseconds(now),
    wall: toMilliseconds(wall)
  }
  return decideLease(input)
}

const OTHER: LeaseRow = { holder: 'tarnow-1/3', fencing: 4, expiresAt: WALL + LEASE_DURATION_MS }
const OWN: LeaseRow = { ...OTHER, holder: 'krakow-1/5' }

describe('decideLease', () => {
  it('acquires an absent row with the first fencing number', () => {
    const row = { holder: 'krakow-1/5', fencing: 1, expiresAt: WALL + LEASE_DURATION_MS }
    expect(decide(undefined, {})).to.deep.equal({ kind: 'acquire', write: { revision: 0, row } })
  })

  it('waits for another holder, however far its clock is off (guards against a takeover by clock skew)', () => {
    expect(decide(OTHER, { now: LEASE_DURATION_MS - 1 }).kind).to.equal('wait')
    expect(decide(OTHER, { wall: WALL + 3_600_000 }).kind).to.equal('wait')
  })

  it('takes an expired lease over with a higher fencing number (guards against two holders with one number)', () => {
    const decision = decide(OTHER, { now: LEASE_DURATION_MS })
    expect(decision).to.deep.include({ kind: 'acquire' })
    expect(decision).to.have.nested.property('write.row.fencing', 5)
    expect(decision).to.have.nested.property('write.revision', 9)
  })

  it('takes a released lease over at once', () => {
    expect(decide({ ...OTHER, expiresAt: 0 }, {}).kind).to.equal('acquire')
  })

  it('keeps, then renews under the same fencing number (guards against fencing its own publish)', () => {
    expect(decide(OWN, { extendedAt: 0, now: LEASE_RENEWAL_MS - 1 })).to.deep.equal({ kind: 'keep', fencing: 4 })
    const renewal = decide(OWN, { extendedAt: 0, now: LEASE_RENEWAL_MS })
    expect(renewal).to.deep.include({ kind: 'renew' })
    expect(renewal).to.have.nested.property('write.row.fencing', 4)
  })

  it('acquires anew after a pause longer than the lease (guards against decisions on what was read before the pause)', () => {
    const decision = decide(OWN, { extendedAt: 0, now: LEASE_DURATION_MS })
    expect(decision).to.have.nested.property('write.row.fencing', 5)
  })

  it('does not rely on a lease past its duration', () => {
    expect(isLeaseValid(undefined, toMilliseconds(0))).to.equal(false)
    expect(isLeaseValid(toMilliseconds(0), toMilliseconds(LEASE_DURATION_MS - 1))).to.equal(true)
    expect(isLeaseValid(toMilliseconds(0), toMilliseconds(LEASE_DURATION_MS))).to.equal(false)
  })
})
