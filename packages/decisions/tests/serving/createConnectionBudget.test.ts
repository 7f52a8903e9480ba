import { expect } from 'chai'
import { type ConnectionBudget, createConnectionBudget } from '../../src/serving/createConnectionBudget.js'

describe('createConnectionBudget', () => {
  let budget: ConnectionBudget<string>

  beforeEach(() => {
    budget = createConnectionBudget({ connectionRequests: 4, connectionBytes: 100, nodeRequests: 20, nodeBytes: 300 })
  })

  it('stops reading a connection at its limits and lets it be read again below them (guards against clients that read no response)', () => {
    const mayRead = (openRequests: number, bytes: number): boolean => {
      budget.update('a', { openRequests, bytes })
      return budget.mayRead('a')
    }
    expect([mayRead(3, 0), mayRead(4, 0), mayRead(3, 99), mayRead(0, 100), mayRead(0, 0)])
      .to.deep.equal([true, false, true, false, true])
  })

  it('closes only those that hold most when many clients exceed the limits together (guards against ordinary callers that pay for them)', () => {
    const closed: string[] = []
    for (let round = 1; round <= 3; round += 1) {
      closed.push(...budget.update('ordinary', { openRequests: 1, bytes: 10 }))
      for (let client = 1; client <= 8; client += 1) closed.push(...budget.update(`hostile-${client}`, { openRequests: round, bytes: 0 }))
    }
    closed.push(...budget.update('unread', { openRequests: 1, bytes: 400 }))
    expect(closed).to.include('unread').and.not.include('ordinary')
    expect(budget.getTotal().openRequests).to.be.at.most(20)
    expect(budget.getTotal().bytes).to.equal(10)
  })

  it('grants each connection one request while the limits are nearly in use (guards against many clients that each stay below theirs)', () => {
    for (const client of ['a', 'b', 'c']) budget.update(client, { openRequests: 4, bytes: 0 })
    expect([budget.isTight(), budget.mayRead('a'), budget.mayRead('new')]).to.deep.equal([true, false, true])
    budget.remove('a')
    expect([budget.isTight(), budget.getTotal()]).to.deep.equal([false, { openRequests: 8, bytes: 0 }])
  })
})
