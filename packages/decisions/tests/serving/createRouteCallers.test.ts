import { expect } from 'chai'
import { createRouteCallers } from '../../src/serving/createRouteCallers.js'

describe('createRouteCallers', () => {
  it('takes a route as internal after enough requests from one service alone', () => {
    const callers = createRouteCallers()
    for (let index = 0; index < 24; index++) callers.record('r', 'clocks')
    expect(callers.isInternal('r')).to.equal(false)
    callers.record('r', 'clocks')
    expect(callers.isInternal('r')).to.equal(true)
    callers.record('r', 'parts')
    expect(callers.isInternal('r')).to.equal(false)
  })

  it('knows nothing of other routes', () => expect(createRouteCallers().isInternal('x')).to.equal(false))
})
