import { toMilliseconds, type RequestKey } from '@snipenotch/contracts'
import { expect } from 'chai'
import fc from 'fast-check'
import { createIdempotencyStore, RECORD_RETENTION_MS, type IdempotencyStoreOptions } from '../../src/home/createIdempotencyStore.js'
import type { ClockReadings, IdempotencyStore, IdempotencyDecision, RecordedResponse, RequestShape } from '../../src/home/IdempotencyStore.js'
import { printSeed } from './printSeed.js'

const START = 1_800_000_000_000
const SHAPE: RequestShape = { method: 'POST', path: '/parts', bodyBytes: 10 }
const LIMITS: IdempotencyStoreOptions = { maxRecords: 100, maxRefused: 100, maxResponseBytes: 1000 }

function createKey (nonce: number, issuedAt = START): RequestKey {
  return { host: 'krakow-1', incarnation: 1, issuedAt, nonce: nonce.toString(16).padStart(32, '0') }
}

function at (now: number, wall = START + now): ClockReadings {
  return { now: toMilliseconds(now), wall: toMilliseconds(wall) }
}

function createResponse (text: string): RecordedResponse {
  return { status: 200, headers: {}, body: Buffer.from(text), outcome: 'ran' }
}

function describeDecision (decision: IdempotencyDecision): string {
  switch (decision.kind) {
    case 'refuse': return `${decision.status} ${decision.reason} ${decision.outcome}`
    case 'replay': return `replay ${Buffer.from(decision.response.body).toString()}`
    default: return decision.kind
  }
}

describe('createIdempotencyStore', () => {
  const settlements: Array<[string, (store: IdempotencyStore, key: RequestKey) => void, string, string]> = [
    ['running', () => undefined, 'wait', '422 key-mismatch unknown'],
    ['completed', (store, key) => store.complete(key, createResponse('a'), at(1)), 'replay a', '422 key-mismatch ran'],
    ['completed without a response', (store, key) => store.complete(key, undefined, at(1)),
      '409 answer-not-held ran', '422 key-mismatch ran'],
    ['refused', (store, key) => { store.refuse(key, 'queue-full', at(1)) },
      '409 key-refused not-run', '422 key-mismatch not-run'],
    ['unknown', (store, key) => store.fail(key, 'backend-failed', at(1)), '409 backend-failed unknown', '422 key-mismatch unknown']
  ]
  for (const [state, settle, duplicate, mismatch] of settlements) {
    it(`answers a duplicate of a key that is ${state} (guards against a second run)`, () => {
      const store = createIdempotencyStore(LIMITS)
      const key = createKey(1)
      expect(store.submit(key, SHAPE, at(0)).kind).to.equal('run')
      settle(store, key)
      expect(describeDecision(store.submit(key, SHAPE, at(2)))).to.equal(duplicate)
      for (const change of [{ method: 'PUT' }, { path: '/other' }, { bodyBytes: 11 }, { bodyBytes: undefined }]) {
        expect(describeDecision(store.submit(key, { ...SHAPE, ...change }, at(2)))).to.equal(mismatch)
      }
    })
  }

  const ages: Array<[number, string]> = [
    [-5001, '409 key-expired unknown'], [-5000, 'run'], [0, 'run'], [120_000, 'run'], [120_001, '409 key-expired not-run']
  ]
  for (const [age, expected] of ages) {
    it(`decides on a new key ${age} ms after its issue (guards against a key that runs after its record is removed)`, () => {
      const store = createIdempotencyStore(LIMITS)
      expect(describeDecision(store.submit(createKey(1), SHAPE, at(0, START + age)))).to.equal(expected)
    })
  }

  it('never runs an expired key reported as not-run when the wall clock steps back (guards against a clock that makes a key valid again)', () => {
    const store = createIdempotencyStore(LIMITS)
    const key = createKey(1)
    expect(describeDecision(store.submit(key, SHAPE, at(0, START + 200_000)))).to.equal('409 key-expired not-run')
    expect(describeDecision(store.submit(key, SHAPE, at(1, START)))).to.equal('409 key-expired not-run')
    expect(store.submit(createKey(2, START + 1), SHAPE, at(2, START + 1)).kind).to.equal('run')
  })

  it('never runs a refused key reported as not-run after its record is removed (guards against a clock that makes a key valid again)', () => {
    const store = createIdempotencyStore(LIMITS)
    store.submit(createKey(1), SHAPE, at(0))
    store.refuse(createKey(1), 'draining', at(0))
    store.expire(at(RECORD_RETENTION_MS))
    expect(store.count().refused).to.equal(0)
    expect(describeDecision(store.submit(createKey(1), SHAPE, at(RECORD_RETENTION_MS, START)))).to.equal('409 key-expired not-run')
  })

  it('returns unknown once a record may have been removed (guards against not-run for a key that ran)', () => {
    const store = createIdempotencyStore(LIMITS)
    store.submit(createKey(1), SHAPE, at(0))
    store.complete(createKey(1), createResponse('a'), at(1))
    store.expire(at(RECORD_RETENTION_MS))
    expect(describeDecision(store.submit(createKey(1), SHAPE, at(RECORD_RETENTION_MS)))).to.equal('replay a')
    store.expire(at(RECORD_RETENTION_MS + 1))
    expect(store.count()).to.deep.equal({ running: 0, settled: 0, refused: 0, responseBytes: 0 })
    expect(describeDecision(store.submit(createKey(1), SHAPE, at(RECORD_RETENTION_MS + 1)))).to.equal('409 key-expired unknown')
  })

  it('refuses new keys when full and keeps old records (guards against a duplicate that runs after its record was evicted)', () => {
    const store = createIdempotencyStore({ ...LIMITS, maxRecords: 2 })
    for (const nonce of [1, 2]) {
      store.submit(createKey(nonce), SHAPE, at(0))
      store.complete(createKey(nonce), createResponse(`${nonce}`), at(1))
    }
    expect(describeDecision(store.submit(createKey(3), SHAPE, at(2)))).to.equal('503 queue-full not-run')
    expect(describeDecision(store.submit(createKey(1), SHAPE, at(3)))).to.equal('replay 1')
    store.expire(at(RECORD_RETENTION_MS + 1))
    expect(describeDecision(store.submit(createKey(3), SHAPE, at(RECORD_RETENTION_MS + 2)))).to.contain('not-run')
  })

  it('removes the oldest responses when their total size exceeds the limit (guards against unbounded memory)', () => {
    const store = createIdempotencyStore({ ...LIMITS, maxResponseBytes: 25 })
    for (const nonce of [1, 2, 3]) {
      store.submit(createKey(nonce), SHAPE, at(0))
      store.complete(createKey(nonce), createResponse(`answer-${nonce}..`), at(1))
    }
    expect(store.count().responseBytes).to.equal(20)
    const duplicates = [1, 2, 3].map((nonce) => describeDecision(store.submit(createKey(nonce), SHAPE, at(2))))
    expect(duplicates).to.deep.equal(['409 answer-not-held ran', 'replay answer-2..', 'replay answer-3..'])
  })
})

type Step =
  | { readonly kind: 'submit', readonly nonce: number }
  | { readonly kind: 'end', readonly pick: number, readonly how: 'complete' | 'fail' | 'refuse' }
  | { readonly kind: 'advance', readonly by: number }
  | { readonly kind: 'step', readonly by: number }

/**
 * Issue times of four keys in milliseconds from the start: few keys, so that a schedule has many duplicates of each.
 */
const pools = fc.array(fc.constantFrom(-10_000, 0, 1000, 20_000, 100_000, 200_000), { minLength: 4, maxLength: 4 })
const steps: fc.Arbitrary<Step[]> = fc.array(fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('submit' as const), nonce: fc.nat(3) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('end' as const), pick: fc.nat(10), how: fc.constantFrom('complete', 'fail', 'refuse') }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('advance' as const), by: fc.constantFrom(1, 1000, 10_000, 60_000, 131_000) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('step' as const), by: fc.constantFrom(-400_000, -130_000, -100_000, -10_000, 10_000, 100_000, 130_000, 400_000) }) }
), { maxLength: 120 })

/** What callers were told about a key, and what happened to it. */
interface History {
  runs: number
  hasReached: boolean
  hasCompleted: boolean
  reportedNotRun: boolean
  isRunning: boolean
}

/** Runs a schedule and throws at the first violated guarantee. */
function runSchedule (schedule: readonly Step[], pool: readonly number[], options: IdempotencyStoreOptions): void {
  const store = createIdempotencyStore(options)
  const histories = new Map<string, History>()
  const running: RequestKey[] = []
  let now = 0
  let offset = START

  function findHistory (key: RequestKey): History {
    const id = `${key.issuedAt}.${key.nonce}`
    const history = histories.get(id) ??
      { runs: 0, hasReached: false, hasCompleted: false, reportedNotRun: false, isRunning: false }
    histories.set(id, history)
    return history
  }

  function checkDecision (key: RequestKey, decision: IdempotencyDecision): void {
    const history = findHistory(key)
    switch (decision.kind) {
      case 'run':
        history.runs += 1
        history.isRunning = true
        running.push(key)
        break
      case 'wait':
        expect(history.isRunning, 'waits only for a running key').to.equal(true)
        break
      case 'replay':
        expect(history.hasCompleted, 'replays only a completed run').to.equal(true)
        expect(Buffer.from(decision.response.body).toString()).to.equal(`${key.issuedAt}.${key.nonce}`)
        break
      case 'refuse':
        if (decision.outcome === 'ran') expect(history.hasCompleted, 'ran reported only for a completed run').to.equal(true)
        if (decision.outcome === 'not-run') history.reportedNotRun = true
    }
    checkHistory(history)
  }

  function checkHistory (history: History): void {
    expect(history.runs, 'number of runs of one key').to.be.at.most(1)
    expect(history.reportedNotRun && (history.hasReached || history.isRunning), 'not-run reported for a key that is running or has run').to.equal(false)
  }

  function endRun (pick: number, how: 'complete' | 'fail' | 'refuse', time: ClockReadings): void {
    const [key] = running.splice(pick % running.length, 1)
    if (key === undefined) return
    const history = findHistory(key)
    history.isRunning = false
    if (how === 'refuse') {
      if (store.refuse(key, 'backend-unreachable', time) === 'not-run') history.reportedNotRun = true
    } else {
      history.hasReached = true
      if (how === 'fail') store.fail(key, 'backend-failed', time)
      else store.complete(key, createResponse(`${key.issuedAt}.${key.nonce}`), time)
      if (how === 'complete') history.hasCompleted = true
    }
    checkHistory(history)
  }

  for (const step of schedule) {
    const time = at(now, offset + now)
    store.expire(time)
    switch (step.kind) {
      case 'submit': {
        const key = createKey(step.nonce, START + pool[step.nonce]!)
        checkDecision(key, store.submit(key, SHAPE, time))
        break
      }
      case 'end':
        if (running.length > 0) endRun(step.pick, step.how, time)
        break
      case 'advance':
        now += step.by
        break
      case 'step':
        offset += step.by
    }
    const { settled, refused, responseBytes, running: count } = store.count()
    expect(count + settled).to.be.at.most(options.maxRecords)
    expect(refused).to.be.at.most(options.maxRefused)
    expect(responseBytes).to.be.at.most(options.maxResponseBytes)
  }
}

describe('createIdempotencyStore over arbitrary schedules', () => {
  it('runs each key at most once and never runs one reported as not-run, with few records and a stepping clock (guards against violations of P8 and P9)', () => {
    const seed = printSeed('idempotency store')
    const limits = fc.record({
      maxRecords: fc.constantFrom(1, 3, 100),
      maxRefused: fc.constantFrom(1, 2, 100),
      maxResponseBytes: fc.constantFrom(0, 60, 10_000)
    })
    fc.assert(fc.property(steps, pools, limits, runSchedule), { seed, numRuns: 3000 })
  })

  it('agrees with a store that keeps all records while the clock is steady (guards against unnecessary refusals)', () => {
    const seed = printSeed('naive idempotency store')
    fc.assert(fc.property(steps, pools, (schedule, pool) => {
      const store = createIdempotencyStore({ maxRecords: 1000, maxRefused: 1000, maxResponseBytes: 1_000_000 })
      const model = new Map<string, string>()
      const running: RequestKey[] = []
      let now = 0
      for (const step of schedule) {
        const time = at(now)
        if (step.kind === 'advance') now += step.by
        if (step.kind === 'end' && running.length > 0) {
          const [key] = running.splice(step.pick % running.length, 1)
          model.set(`${key!.issuedAt}.${key!.nonce}`, step.how)
          if (step.how === 'refuse') store.refuse(key!, 'draining', time)
          else if (step.how === 'fail') store.fail(key!, 'backend-failed', time)
          else store.complete(key!, createResponse('a'), time)
        }
        if (step.kind !== 'submit') continue
        const key = createKey(step.nonce, START + pool[step.nonce]!)
        const id = `${key.issuedAt}.${key.nonce}`
        const age = time.wall - key.issuedAt
        const states: Record<string, string> = {
          run: 'wait', complete: 'replay a', fail: '409 backend-failed unknown', refuse: '409 key-refused not-run'
        }
        const fresh = age > 120_000 ? '409 key-expired not-run' : age < -5000 ? '409 key-expired unknown' : 'run'
        const state = model.get(id)
        const decision = store.submit(key, SHAPE, time)
        expect(describeDecision(decision)).to.equal(state === undefined ? fresh : states[state])
        if (decision.kind !== 'run') continue
        model.set(id, 'run')
        running.push(key)
      }
    }), { seed, numRuns: 500 })
  })
})
