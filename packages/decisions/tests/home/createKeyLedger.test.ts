import { toMilliseconds, type RequestKey } from '@snipenotch/contracts'
import { expect } from 'chai'
import fc from 'fast-check'
import { createKeyLedger, RECORD_RETENTION_MS, type KeyLedgerOptions } from '../../src/home/createKeyLedger.js'
import type { HostTime, KeyLedger, LedgerDecision, RecordedAnswer, RequestShape } from '../../src/home/KeyLedger.js'
import { printSeed } from './printSeed.js'

const START = 1_800_000_000_000
const SHAPE: RequestShape = { method: 'POST', path: '/parts', bodyBytes: 10 }
const LIMITS: KeyLedgerOptions = { maxRecords: 100, maxRefused: 100, maxAnswerBytes: 1000 }

function createKey (nonce: number, issuedAt = START): RequestKey {
  return { host: 'krakow-1', incarnation: 1, issuedAt, nonce: nonce.toString(16).padStart(32, '0') }
}

function at (now: number, wall = START + now): HostTime {
  return { now: toMilliseconds(now), wall: toMilliseconds(wall) }
}

function createAnswer (text: string): RecordedAnswer {
  return { status: 200, headers: {}, body: Buffer.from(text), outcome: 'ran' }
}

function describeDecision (decision: LedgerDecision): string {
  switch (decision.kind) {
    case 'refuse': return `${decision.status} ${decision.reason} ${decision.outcome}`
    case 'replay': return `replay ${Buffer.from(decision.answer.body).toString()}`
    default: return decision.kind
  }
}

describe('key ledger', () => {
  const settlements: Array<[string, (ledger: KeyLedger, key: RequestKey) => void, string, string]> = [
    ['running', () => undefined, 'wait', '422 key-mismatch unknown'],
    ['completed', (ledger, key) => ledger.complete(key, createAnswer('a'), at(1)), 'replay a', '422 key-mismatch ran'],
    ['completed without its answer', (ledger, key) => ledger.complete(key, undefined, at(1)),
      '409 answer-not-held ran', '422 key-mismatch ran'],
    ['refused', (ledger, key) => { ledger.refuse(key, 'queue-full', at(1)) },
      '409 key-refused not-run', '422 key-mismatch not-run'],
    ['unknown', (ledger, key) => ledger.fail(key, 'backend-failed', at(1)), '409 backend-failed unknown', '422 key-mismatch unknown']
  ]
  for (const [state, settle, duplicate, mismatch] of settlements) {
    it(`answers a duplicate of a key that is ${state} (guards against a second run)`, () => {
      const ledger = createKeyLedger(LIMITS)
      const key = createKey(1)
      expect(ledger.submit(key, SHAPE, at(0)).kind).to.equal('run')
      settle(ledger, key)
      expect(describeDecision(ledger.submit(key, SHAPE, at(2)))).to.equal(duplicate)
      for (const change of [{ method: 'PUT' }, { path: '/other' }, { bodyBytes: 11 }, { bodyBytes: undefined }]) {
        expect(describeDecision(ledger.submit(key, { ...SHAPE, ...change }, at(2)))).to.equal(mismatch)
      }
    })
  }

  const ages: Array<[number, string]> = [
    [-5001, '409 key-expired unknown'], [-5000, 'run'], [0, 'run'], [120_000, 'run'], [120_001, '409 key-expired not-run']
  ]
  for (const [age, expected] of ages) {
    it(`judges a key that was never seen at ${age} ms after its issue (guards against a key that runs after its record is gone)`, () => {
      const ledger = createKeyLedger(LIMITS)
      expect(describeDecision(ledger.submit(createKey(1), SHAPE, at(0, START + age)))).to.equal(expected)
    })
  }

  it('keeps not-run of an expired key true when the wall clock steps back (guards against a clock that revives a key)', () => {
    const ledger = createKeyLedger(LIMITS)
    const key = createKey(1)
    expect(describeDecision(ledger.submit(key, SHAPE, at(0, START + 200_000)))).to.equal('409 key-expired not-run')
    expect(describeDecision(ledger.submit(key, SHAPE, at(1, START)))).to.equal('409 key-expired not-run')
    expect(ledger.submit(createKey(2, START + 1), SHAPE, at(2, START + 1)).kind).to.equal('run')
  })

  it('keeps not-run of a refused key true after its record is gone (guards against a clock that revives a key)', () => {
    const ledger = createKeyLedger(LIMITS)
    ledger.submit(createKey(1), SHAPE, at(0))
    ledger.refuse(createKey(1), 'draining', at(0))
    ledger.expire(at(RECORD_RETENTION_MS))
    expect(ledger.count().refused).to.equal(0)
    expect(describeDecision(ledger.submit(createKey(1), SHAPE, at(RECORD_RETENTION_MS, START)))).to.equal('409 key-expired not-run')
  })

  it('says unknown once a record may have been dropped (guards against not-run for a key that ran)', () => {
    const ledger = createKeyLedger(LIMITS)
    ledger.submit(createKey(1), SHAPE, at(0))
    ledger.complete(createKey(1), createAnswer('a'), at(1))
    ledger.expire(at(RECORD_RETENTION_MS))
    expect(describeDecision(ledger.submit(createKey(1), SHAPE, at(RECORD_RETENTION_MS)))).to.equal('replay a')
    ledger.expire(at(RECORD_RETENTION_MS + 1))
    expect(ledger.count()).to.deep.equal({ running: 0, settled: 0, refused: 0, answerBytes: 0 })
    expect(describeDecision(ledger.submit(createKey(1), SHAPE, at(RECORD_RETENTION_MS + 1)))).to.equal('409 key-expired unknown')
  })

  it('refuses new keys when full and keeps old records (guards against a duplicate that runs after its record was evicted)', () => {
    const ledger = createKeyLedger({ ...LIMITS, maxRecords: 2 })
    for (const nonce of [1, 2]) {
      ledger.submit(createKey(nonce), SHAPE, at(0))
      ledger.complete(createKey(nonce), createAnswer(`${nonce}`), at(1))
    }
    expect(describeDecision(ledger.submit(createKey(3), SHAPE, at(2)))).to.equal('503 queue-full not-run')
    expect(describeDecision(ledger.submit(createKey(1), SHAPE, at(3)))).to.equal('replay 1')
    ledger.expire(at(RECORD_RETENTION_MS + 1))
    expect(describeDecision(ledger.submit(createKey(3), SHAPE, at(RECORD_RETENTION_MS + 2)))).to.contain('not-run')
  })

  it('drops the oldest answers when they are too large together (guards against unbounded memory)', () => {
    const ledger = createKeyLedger({ ...LIMITS, maxAnswerBytes: 25 })
    for (const nonce of [1, 2, 3]) {
      ledger.submit(createKey(nonce), SHAPE, at(0))
      ledger.complete(createKey(nonce), createAnswer(`answer-${nonce}..`), at(1))
    }
    expect(ledger.count().answerBytes).to.equal(20)
    const duplicates = [1, 2, 3].map((nonce) => describeDecision(ledger.submit(createKey(nonce), SHAPE, at(2))))
    expect(duplicates).to.deep.equal(['409 answer-not-held ran', 'replay answer-2..', 'replay answer-3..'])
  })
})

type Step =
  | { readonly kind: 'submit', readonly nonce: number }
  | { readonly kind: 'end', readonly pick: number, readonly how: 'complete' | 'fail' | 'refuse' }
  | { readonly kind: 'advance', readonly by: number }
  | { readonly kind: 'step', readonly by: number }

/** Dates of four keys in milliseconds from the start: few keys, so that a schedule holds many copies of each. */
const pools = fc.array(fc.constantFrom(-10_000, 0, 1000, 20_000, 100_000, 200_000), { minLength: 4, maxLength: 4 })
const steps: fc.Arbitrary<Step[]> = fc.array(fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('submit' as const), nonce: fc.nat(3) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('end' as const), pick: fc.nat(10), how: fc.constantFrom('complete', 'fail', 'refuse') }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('advance' as const), by: fc.constantFrom(1, 1000, 10_000, 60_000, 131_000) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('step' as const), by: fc.constantFrom(-400_000, -130_000, -100_000, -10_000, 10_000, 100_000, 130_000, 400_000) }) }
), { maxLength: 120 })

/** What callers have been told about a key, and what became of it. */
interface History {
  runs: number
  hasReached: boolean
  hasCompleted: boolean
  toldNotRun: boolean
  isRunning: boolean
}

/** Plays a schedule and throws at the first broken promise. */
function playSchedule (schedule: readonly Step[], pool: readonly number[], options: KeyLedgerOptions): void {
  const ledger = createKeyLedger(options)
  const histories = new Map<string, History>()
  const running: RequestKey[] = []
  let now = 0
  let offset = START

  function findHistory (key: RequestKey): History {
    const id = `${key.issuedAt}.${key.nonce}`
    const history = histories.get(id) ??
      { runs: 0, hasReached: false, hasCompleted: false, toldNotRun: false, isRunning: false }
    histories.set(id, history)
    return history
  }

  function checkDecision (key: RequestKey, decision: LedgerDecision): void {
    const history = findHistory(key)
    switch (decision.kind) {
      case 'run':
        history.runs += 1
        history.isRunning = true
        running.push(key)
        break
      case 'wait':
        expect(history.isRunning, 'waits for a run').to.equal(true)
        break
      case 'replay':
        expect(history.hasCompleted, 'replays a completed run').to.equal(true)
        expect(Buffer.from(decision.answer.body).toString()).to.equal(`${key.issuedAt}.${key.nonce}`)
        break
      case 'refuse':
        if (decision.outcome === 'ran') expect(history.hasCompleted, 'ran is true').to.equal(true)
        if (decision.outcome === 'not-run') history.toldNotRun = true
    }
    checkHistory(history)
  }

  function checkHistory (history: History): void {
    expect(history.runs, 'runs of one key').to.be.at.most(1)
    expect(history.toldNotRun && (history.hasReached || history.isRunning), 'not-run told of a key that runs or ran').to.equal(false)
  }

  function endRun (pick: number, how: 'complete' | 'fail' | 'refuse', time: HostTime): void {
    const [key] = running.splice(pick % running.length, 1)
    if (key === undefined) return
    const history = findHistory(key)
    history.isRunning = false
    if (how === 'refuse') {
      if (ledger.refuse(key, 'backend-unreachable', time) === 'not-run') history.toldNotRun = true
    } else {
      history.hasReached = true
      if (how === 'fail') ledger.fail(key, 'backend-failed', time)
      else ledger.complete(key, createAnswer(`${key.issuedAt}.${key.nonce}`), time)
      if (how === 'complete') history.hasCompleted = true
    }
    checkHistory(history)
  }

  for (const step of schedule) {
    const time = at(now, offset + now)
    ledger.expire(time)
    switch (step.kind) {
      case 'submit': {
        const key = createKey(step.nonce, START + pool[step.nonce]!)
        checkDecision(key, ledger.submit(key, SHAPE, time))
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
    const { settled, refused, answerBytes, running: count } = ledger.count()
    expect(count + settled).to.be.at.most(options.maxRecords)
    expect(refused).to.be.at.most(options.maxRefused)
    expect(answerBytes).to.be.at.most(options.maxAnswerBytes)
  }
}

describe('key ledger over any schedule', () => {
  it('runs each key at most once and keeps every not-run true, with few records and a clock that steps (guards against P8 and P9)', () => {
    const seed = printSeed('key ledger')
    const limits = fc.record({
      maxRecords: fc.constantFrom(1, 3, 100),
      maxRefused: fc.constantFrom(1, 2, 100),
      maxAnswerBytes: fc.constantFrom(0, 60, 10_000)
    })
    fc.assert(fc.property(steps, pools, limits, playSchedule), { seed, numRuns: 3000 })
  })

  it('agrees with a ledger that forgets nothing while the clock is steady (guards against refusals without need)', () => {
    const seed = printSeed('naive ledger')
    fc.assert(fc.property(steps, pools, (schedule, pool) => {
      const ledger = createKeyLedger({ maxRecords: 1000, maxRefused: 1000, maxAnswerBytes: 1_000_000 })
      const naive = new Map<string, string>()
      const running: RequestKey[] = []
      let now = 0
      for (const step of schedule) {
        const time = at(now)
        if (step.kind === 'advance') now += step.by
        if (step.kind === 'end' && running.length > 0) {
          const [key] = running.splice(step.pick % running.length, 1)
          naive.set(`${key!.issuedAt}.${key!.nonce}`, step.how)
          if (step.how === 'refuse') ledger.refuse(key!, 'draining', time)
          else if (step.how === 'fail') ledger.fail(key!, 'backend-failed', time)
          else ledger.complete(key!, createAnswer('a'), time)
        }
        if (step.kind !== 'submit') continue
        const key = createKey(step.nonce, START + pool[step.nonce]!)
        const id = `${key.issuedAt}.${key.nonce}`
        const age = time.wall - key.issuedAt
        const states: Record<string, string> = {
          run: 'wait', complete: 'replay a', fail: '409 backend-failed unknown', refuse: '409 key-refused not-run'
        }
        const fresh = age > 120_000 ? '409 key-expired not-run' : age < -5000 ? '409 key-expired unknown' : 'run'
        const state = naive.get(id)
        const decision = ledger.submit(key, SHAPE, time)
        expect(describeDecision(decision)).to.equal(state === undefined ? fresh : states[state])
        if (decision.kind !== 'run') continue
        naive.set(id, 'run')
        running.push(key)
      }
    }), { seed, numRuns: 500 })
  })
})
