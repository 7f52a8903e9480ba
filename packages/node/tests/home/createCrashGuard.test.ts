import { type Clock, toMilliseconds } from '@snipenotch/contracts'
import type { InstanceRun } from '@snipenotch/decisions'
import { expect } from 'chai'
import type { BackendJob } from '../../src/home/BackendJob.js'
import { createCrashGuard, type CrashGuard } from '../../src/home/createCrashGuard.js'
import { createJob, createRecord } from '../createJob.js'
import { createTestContext } from '../createTestContext.js'

const HOSTS = ['krakow-1', 'krakow-2', 'krakow-3']
const QUARANTINE_MS = 60_000

describe('createCrashGuard', () => {
  let now: number
  let findings: string[]
  let guards: Map<string, CrashGuard>
  let runs: Map<string, number>

  function createGuard (host: string): CrashGuard {
    const clock: Clock = { now: () => toMilliseconds(now), wall: () => toMilliseconds(now) }
    return createCrashGuard({
      context: { ...createTestContext({ host, service: 'parts' }), clock },
      view: { listServing: () => HOSTS.map((name) => createRecord(name)) },
      onFinding: () => { findings.push(host) },
      onChange: () => undefined
    })
  }

  const getGuard = (host: string): CrashGuard => guards.get(host) ?? createGuard(host)
  const createRequest = (target: string, given: Partial<BackendJob> = {}): BackendJob => createJob({ target, ...given })

  /** Ends the backend server of `host` while it runs the requests, and tells the other nodes. */
  function crash (host: string, ...targets: string[]): void {
    const startedAt = (runs.get(host) ?? 0) + 1
    runs.set(host, startedAt)
    const run: InstanceRun = { instance: `i-${host}`, startedAt, sequence: 1, version: 'v1', slots: 4, state: 'serving' }
    const guard = getGuard(host)
    for (const target of targets) guard.recordLoss(createRequest(target), run)
    guard.recordRefusedConnection(run)
    guard.recordRestart(run)
    tellOthers(host)
  }

  function tellOthers (host: string): void {
    const report = getGuard(host).composeReport()
    for (const other of HOSTS) if (other !== host) getGuard(other).applyReport(report)
  }

  const listRefusing = (target: string, given: Partial<BackendJob> = {}): string[] => HOSTS.filter((host) => {
    const job = createRequest(target, given)
    const isRefused = getGuard(host).admit(job) !== undefined
    getGuard(host).release(job)
    return isRefused
  })

  beforeEach(() => {
    now = 1000
    findings = []
    guards = new Map(HOSTS.map((host) => [host, createGuard(host)]))
    runs = new Map()
  })

  it('refuses a request on all hosts of the service after two crashes, for as long as it says', () => {
    crash('krakow-1', '/crashing')
    expect(listRefusing('/crashing')).to.deep.equal([])
    crash('krakow-2', '/crashing')
    expect(listRefusing('/crashing')).to.deep.equal(HOSTS)
    expect(getGuard('krakow-3').admit(createRequest('/crashing'))).to.equal(QUARANTINE_MS)
    expect(findings).to.deep.equal(['krakow-1', 'krakow-2'])
  })

  it('counts two crashes of one server as two', () => {
    crash('krakow-1', '/crashing')
    crash('krakow-1', '/crashing')
    expect(listRefusing('/crashing')).to.deep.equal(HOSTS)
  })

  it('serves the other requests that were in flight, and the same path with another body or host name (guards against harmless requests that are refused)', () => {
    crash('krakow-1', '/crashing', '/a')
    crash('krakow-2', '/b', '/crashing')
    for (const target of ['/a', '/b']) expect(listRefusing(target), target).to.deep.equal([])
    expect(listRefusing('/crashing', { body: Buffer.from('other') })).to.deep.equal([])
    expect(listRefusing('/crashing', { headers: ['Host', 'b.example'] })).to.deep.equal([])
  })

  it('serves a request that has succeeded since its first crash (guards against a popular request refused because of others)', () => {
    crash('krakow-1', '/popular', '/a')
    now += 10
    getGuard('krakow-2').recordSuccess(createRequest('/popular'))
    tellOthers('krakow-2')
    now += 10
    crash('krakow-3', '/popular', '/b')
    expect(listRefusing('/popular')).to.deep.equal([])
  })

  it('runs a request on probation on one host, one at a time, until it succeeds (guards against a request that is refused for ever)', () => {
    crash('krakow-1', '/fixed')
    crash('krakow-2', '/fixed')
    now += QUARANTINE_MS
    const refusing = listRefusing('/fixed')
    expect(refusing.length).to.equal(2)
    const chosen = HOSTS.find((host) => !refusing.includes(host)) ?? ''
    const job = createRequest('/fixed')
    expect(getGuard(chosen).admit(job)).to.equal(undefined)
    expect(listRefusing('/fixed')).to.deep.equal(HOSTS)
    getGuard(chosen).recordSuccess(job)
    getGuard(chosen).release(job)
    tellOthers(chosen)
    expect(listRefusing('/fixed')).to.deep.equal([])
  })

  it('keeps to one probation while a waiting request is checked again', () => {
    crash('krakow-1', '/fixed')
    crash('krakow-2', '/fixed')
    now += QUARANTINE_MS
    const refusing = listRefusing('/fixed')
    const guard = getGuard(HOSTS.find((host) => !refusing.includes(host)) ?? '')
    const job = createRequest('/fixed')
    guard.admit(job)
    expect([guard.findWait(job) === undefined, guard.findWait(createRequest('/fixed')) === undefined]).to.deep.equal([true, false])
  })

  it('tells a node that starts what it missed, with the age of each crash (guards against a restart that forgets, and a quarantine that never ends)', () => {
    crash('krakow-1', '/crashing')
    crash('krakow-2', '/crashing')
    now += QUARANTINE_MS - 1000
    const restarted = createGuard('krakow-3')
    restarted.applyReport(getGuard('krakow-1').composeReport())
    expect(restarted.admit(createRequest('/crashing'))).to.equal(1000)
  })

  it('blames no request for a server that leaves', () => {
    const guard = getGuard('krakow-1')
    const run: InstanceRun = { instance: 'i', startedAt: 1, sequence: 1, version: 'v1', slots: 4, state: 'draining' }
    guard.recordLoss(createRequest('/a'), run)
    guard.recordLeave()
    guard.recordRestart(run)
    expect([guard.hasSuspects(), findings]).to.deep.equal([false, []])
  })
})
