import { expect } from 'chai'
import fc from 'fast-check'
import { type DutyFault, type DutyHistory, LATE_MS, LEASE_MS, simulateDuty, WINDOW_MS } from './simulateDuty.js'

const KINDS: ReadonlyArray<DutyFault['kind']> = [
  'crash', 'pause', 'suspend', 'lose-responses', 'delay-writes', 'store-down', 'restore', 'endpoint-down', 'late-calls'
]
const HISTORIES = 2000
const HISTORY_MS = 70_000
/** Faults begin up to this time and last up to 10 s, so that each history ends with undisturbed windows. */
const LAST_FAULT_MS = 35_000
const UNDISTURBED_FROM_MS = 52_000

const faultArbitrary: fc.Arbitrary<DutyFault> = fc.record({
  at: fc.integer({ min: 0, max: LAST_FAULT_MS / 50 }).map((tick) => tick * 50),
  kind: fc.constantFrom(...KINDS),
  node: fc.integer({ min: -3, max: 3 }),
  durationMs: fc.integer({ min: 1, max: 100 }).map((step) => step * 100)
})

const sumCounts = (text: string): number =>
  Object.values(JSON.parse(text) as Record<string, number>).reduce((sum, count) => sum + count, 0)

/** Lists the broken rules of a history. */
function checkSafety ({ calls, callsAfterRefusal }: DutyHistory): string[] {
  const faults: string[] = []
  const texts = new Map<number, string>()
  const hosts = new Map<number, string>()
  let highest = 0
  for (const { window, text, token, host, at } of calls) {
    if ((texts.get(window) ?? text) !== text) faults.push(`two reports for window ${window} at ${at}`)
    if ((hosts.get(token) ?? host) !== host) faults.push(`token ${token} of two hosts`)
    if (token < highest) faults.push(`token ${token} after ${highest}`)
    texts.set(window, text)
    hosts.set(token, host)
    highest = Math.max(highest, token)
  }
  const changes = calls.filter(({ host }, index) => calls[index - 1]?.host !== host || calls[index + 1]?.host !== host)
  for (const [index, first] of changes.entries()) {
    const other = changes.findIndex(({ host }, at) => at > index && host !== first.host)
    const again = changes.find(({ host }, at) => other !== -1 && at > other && host === first.host)
    if (again !== undefined && again.at - first.at < LEASE_MS) faults.push(`${first.host} again after ${again.at - first.at} ms`)
  }
  if (callsAfterRefusal > 0) faults.push('call with a refused token')
  return faults
}

/** Lists windows that ended between the two times and were not reported in time with all their requests. */
function listMissed (history: DutyHistory, fromMs: number): number[] {
  const start = history.end - HISTORY_MS
  return [...history.counts.keys()].filter((window) => {
    const endsAt = (window + 1) * WINDOW_MS
    if (window * WINDOW_MS < start + fromMs || endsAt > history.end - LATE_MS) return false
    const text = history.calls.find((call) => call.window === window)?.text ?? '{}'
    const isLate = (history.acceptedAt.get(window) ?? Infinity) > endsAt + LATE_MS
    return isLate || sumCounts(text) !== history.counts.get(window)
  })
}

describe('createDutyState', function () {
  this.timeout(180_000)

  it('reports each window once, exactly and in time, with about one write a second (guards against a duty that drifts)', () => {
    const history = simulateDuty([], HISTORY_MS)
    expect(checkSafety(history)).to.deep.equal([])
    expect(listMissed(history, 10_000)).to.deep.equal([])
    expect(history.calls.length).to.equal(new Set(history.calls.map(({ window }) => window)).size)
    expect(history.writes).to.be.below(1.5 * HISTORY_MS / 1000)
  })

  it('reports in time whenever its holder dies (guards against a takeover that is too slow)', () => {
    for (let at = 20_000; at < 25_000; at += 250) {
      const history = simulateDuty([{ at, kind: 'crash', node: -1, durationMs: 60_000 }], HISTORY_MS)
      expect(checkSafety(history)).to.deep.equal([])
      const late = [...history.counts.keys()].filter((window) => {
        const endsAt = (window + 1) * WINDOW_MS
        const isLate = (history.acceptedAt.get(window) ?? Infinity) > endsAt + LATE_MS
        return endsAt > history.end - HISTORY_MS + 12_000 && endsAt < history.end - LATE_MS && isLate
      })
      expect(late, `holder dies at ${at} ms`).to.deep.equal([])
      // Each node counts a request every 500 ms: the holder's last ones may not have been stored yet.
      const lost = history.calls.filter(({ window, text }) => sumCounts(text) < (history.counts.get(window) ?? 0) - 3)
      expect(lost, `holder dies at ${at} ms`).to.deep.equal([])
    }
  })

  it('breaks no rule and recovers after any faults (guards against two reports, repeated tokens and late calls)', () => {
    fc.assert(fc.property(fc.array(faultArbitrary, { minLength: 1, maxLength: 5 }), (faults) => {
      const history = simulateDuty(faults, HISTORY_MS)
      expect(checkSafety(history)).to.deep.equal([])
      expect(listMissed(history, UNDISTURBED_FROM_MS)).to.deep.equal([])
    }), { numRuns: Number(process.env.DUTY_HISTORIES ?? HISTORIES), seed: Number(process.env.DUTY_SEED ?? 880) })
  })
})
