import { toMilliseconds, type LeaseRow } from '@snipenotch/contracts'
import { expect } from 'chai'
import { decideLease, isLeaseValid, LEASE_DURATION_MS, LEASE_RENEWAL_MS, type LeaseInput } from '../../src/index.js'

const WALL = 1_000_000

interface Times { revisionSeenAt?: number, extendedAt?: number, now?: number, wall?: number }

function decide (row: LeaseRow | undefined, parts: Times) {
  const { revisionSeenAt = 0, extendedAt, now = 0, wall = WALL } = parts
  const input: LeaseInput = {
    holder: 'krakow-1/5',
    reading: { revision: row === undefined ? 0 : 9, row },
    revisionSeenAt: toMilliseconds(revisionSeenAt),
    extendedAt: extendedAt === undefined ? undefined : toMilliseconds(extendedAt),
    now: toMilliseconds(now),
    wall: toMilliseconds(wall)
  }
  return decideLease(input)
}

const OTHER: LeaseRow = { holder: 'tarnow-1/3', fencing: 4, expiresAt: WALL + LEASE_DURATION_MS }
const OWN: LeaseRow = { ...OTHER, holder: 'krakow-1/5' }

describe('decideLease', () => {
  it('acquires an absent row with the first fencing token', () => {
    const row = { holder: 'krakow-1/5', fencing: 1, expiresAt: WALL + LEASE_DURATION_MS }
    expect(decide(undefined, {})).to.deep.equal({ kind: 'acquire', write: { revision: 0, row } })
  })

  it('waits while another node holds the lease, regardless of clock skew (guards against a takeover caused by skew)', () => {
    expect(decide(OTHER, { now: LEASE_DURATION_MS - 1 }).kind).to.equal('wait')
    expect(decide(OTHER, { wall: WALL + 3_600_000 }).kind).to.equal('wait')
  })

  it('acquires an expired lease with a higher fencing token (guards against two holders with the same token)', () => {
    const decision = decide(OTHER, { now: LEASE_DURATION_MS })
    expect(decision).to.deep.include({ kind: 'acquire' })
    expect(decision).to.have.nested.property('write.row.fencing', 5)
    expect(decision).to.have.nested.property('write.revision', 9)
  })

  it('acquires a released lease at once', () => {
    expect(decide({ ...OTHER, expiresAt: 0 }, {}).kind).to.equal('acquire')
  })

  it('keeps, then renews the lease with the same fencing token (guards against fencing off its own publish)', () => {
    expect(decide(OWN, { extendedAt: 0, now: LEASE_RENEWAL_MS - 1 })).to.deep.equal({ kind: 'keep', fencing: 4 })
    const renewal = decide(OWN, { extendedAt: 0, now: LEASE_RENEWAL_MS })
    expect(renewal).to.deep.include({ kind: 'renew' })
    expect(renewal).to.have.nested.property('write.row.fencing', 4)
  })

  it('acquires its own lease again after a pause longer than the lease (guards against decisions on data read before the pause)', () => {
    const decision = decide(OWN, { extendedAt: 0, now: LEASE_DURATION_MS })
    expect(decision).to.have.nested.property('write.row.fencing', 5)
  })

  it('considers a lease invalid after its duration', () => {
    expect(isLeaseValid(undefined, toMilliseconds(0))).to.equal(false)
    expect(isLeaseValid(toMilliseconds(0), toMilliseconds(LEASE_DURATION_MS - 1))).to.equal(true)
    expect(isLeaseValid(toMilliseconds(0), toMilliseconds(LEASE_DURATION_MS))).to.equal(false)
  })
})
