import { composeRowVersion, type MeshRollout, type Release } from '@snipenotch/contracts'
import { expect } from 'chai'
import { isReleaseUndone } from '../../src/serving/isReleaseUndone.js'
import { resolveRestoredOrder } from '../../src/serving/resolveRestoredOrder.js'

/** Release with a rollout to v3 by the order of row 50, before the first restore. */
function composeRelease (rollout: Partial<MeshRollout> = {}, given: Partial<Release> = {}): Release {
  const order = {
    order: 50, to: 'v3', state: 'completed', share: 1, startedAt: 0, durationMs: 6000, steppedAt: 0, controller: 'h', reason: ''
  } as const
  return { service: 'parts', stable: 'v2', denied: [], rollout: { ...order, ...rollout }, ...given }
}
const order = (to: string) => ({ service: 'parts', to, durationMs: 6000 })
const restored = (number: number): number => composeRowVersion(1, number)

describe('releases across a restore of the store', () => {
  const release = composeRelease()
  const cases: Array<[string, Release, Parameters<typeof resolveRestoredOrder>[1], string]> = [
    ['the order of the rollout in the copy', release, { order: order('v3'), version: restored(50) }, 'same'],
    ['the order of the rollout, written again', release, { order: order('v3'), version: restored(47), hasHistory: true }, 'same'],
    ['its repetition after that', composeRelease({ orderRow: restored(47) }), { order: order('v3'), version: restored(60) }, 'new'],
    ['the order before it in the copy', release, { order: order('v2'), version: restored(40), formerVersion: 40, hasHistory: true }, 'former'],
    ['the same once it is recorded', composeRelease({}, { seenOrder: restored(40) }), { order: order('v2'), version: restored(40) }, 'handled'],
    ['the order of the rollout behind one before it', composeRelease({}, { seenOrder: restored(40) }), { order: order('v3'), version: restored(47) }, 'same'],
    ['an order in the copy that was not taken up', release, { order: order('v4'), version: restored(52), formerVersion: 52, hasHistory: true }, 'new'],
    ['another order under a version issued again', release, { order: order('v4'), version: restored(47), hasHistory: true }, 'new'],
    ['a row of which a restarted node knows nothing', release, { order: order('v2'), version: restored(40) }, 'unknown'],
    ['a repeated order without a restore', release, { order: order('v3'), version: 51 }, 'new']
  ]
  for (const [title, known, found, meaning] of cases) {
    it(`takes ${title} as ${meaning} (guards against rollouts that start again, or orders that are lost)`, () => {
      expect(resolveRestoredOrder(known, found)).to.equal(meaning)
    })
  }

  it('is undone by earlier states only (guards against a rollout that runs again after it ended)', () => {
    const running = composeRelease({ state: 'running', share: 0.2 })
    const later = composeRelease({ state: 'running', order: restored(12) })
    const first = { ...release, rollout: null }
    for (const found of [undefined, running, composeRelease({ order: 40 }), first]) {
      expect(isReleaseUndone(release, found, false)).to.equal(true)
    }
    const allowed = [[release, later], [running, release], [running, running], [first, running]] as const
    for (const [known, found] of allowed) {
      expect(isReleaseUndone(known, found, true)).to.equal(false)
    }
  })

  it('is undone by another end of the rollout only in a later era (guards against two nodes that overwrite each other for good)', () => {
    const other = composeRelease({ state: 'rolled-back' })
    expect([isReleaseUndone(release, other, true), isReleaseUndone(release, other, false)]).to.deep.equal([true, false])
  })
})
