import { expect } from 'chai'
import { createResendBudgets } from '../../src/entry/createResendBudgets.js'
import { createTestContext } from '../createTestContext.js'

const SLACK = 170
const NODES = 65

function countTaken (take: () => boolean): number {
  let taken = 0
  while (taken < SLACK && take()) taken += 1
  return taken
}

describe('createResendBudgets', () => {
  it('stays below the bound after all nodes restart together (guards against a share of the bound that is fixed before the other nodes are known)', () => {
    const known: { nodes?: number } = {}
    const context = createTestContext({ retrySlack: SLACK })
    const budgets = Array.from({ length: NODES }, () => createResendBudgets(context, () => known.nodes))
    for (const { recordFirst } of budgets) recordFirst('logbook')
    const takeAll = (): number => budgets.reduce((sum, { take }) => sum + countTaken(() => take('logbook')), 0)
    const beforeKnown = takeAll()
    known.nodes = NODES
    const total = beforeKnown + takeAll()
    expect({ beforeKnown, isWithinBound: total <= SLACK }).to.deep.equal({ beforeKnown: 0, isWithinBound: true })
    expect(total).to.be.greaterThan(0)
  })
})
