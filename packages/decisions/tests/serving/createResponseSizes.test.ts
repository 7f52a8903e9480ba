import { expect } from 'chai'
import { createResponseSizes } from '../../src/serving/createResponseSizes.js'

describe('createResponseSizes', () => {
  it('takes the first response of a route as its size (guards against downloads placed as small requests until many were seen)', () => {
    const sizes = createResponseSizes()
    sizes.record('catalogue', 90_000)
    expect(sizes.get('catalogue')).to.equal(90_000)
    expect(sizes.get('lookup')).to.be.below(2000)
  })

  it('follows a route whose responses change (guards against a route kept in its data centre for good)', () => {
    const sizes = createResponseSizes()
    sizes.record('report', 90_000)
    for (let count = 0; count < 20; count++) sizes.record('report', 500)
    expect(sizes.get('report')).to.be.below(2000)
  })

  it('drops the oldest routes (guards against memory that grows with each configuration)', () => {
    const sizes = createResponseSizes()
    for (let index = 0; index < 5000; index++) sizes.record(`route-${index}`, 50_000)
    expect(sizes.get('route-0')).to.be.below(2000)
    expect(sizes.get('route-4999')).to.equal(50_000)
  })
})
