import { expect } from 'chai'
import { createRetryBudgets } from '../../src/entry/createRetryBudgets.js'
import { createTestContext } from '../createTestContext.js'

const SLACK = 170
const NODES = 65

function countTaken (take: () => boolean): number {
  let taken = 0
  while (taken < SLACK && take()) taken += 1
  return taken
}

describe('createRetryBudgets', () => {
  it('stays within the bound after all nodes restart together (guards against a share of the bound computed before the other nodes are known)', () => {
    const known: { nodes?: number } = {}
    const context = createTestContext({ retrySlack: SLACK })
    const budgets = Array.from({ length: NODES }, () => createRetryBudgets(context, () => known.nodes))
    for (const { recordFirstAttempt } of budgets) recordFirstAttempt('logbook')
    const takeAll = (): number => budgets.reduce((sum, { take }) => sum + countTaken(() => take('logbook')), 0)
    const beforeKnown = takeAll()
    known.nodes = NODES
    const total = beforeKnown + takeAll()
    expect({ beforeKnown, isWithinBound: total <= SLACK }).to.deep.equal({ beforeKnown: 0, isWithinBound: true })
    expect(total).to.be.greaterThan(0)
  })
})
