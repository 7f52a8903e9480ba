import { expect } from 'chai'
import { createAccount } from '../../src/demo/createAccount.js'

describe('createAccount', () => {
  it('has not held without a check, after a failed one and after a phase that broke off (guards against a demo that passes by default)', async () => {
    const lines: string[] = []
    const create = (): ReturnType<typeof createAccount> => createAccount((line) => lines.push(line))
    expect(create().hasHeld()).to.equal(false)
    const good = create()
    good.add(true, 'promise', '1')
    expect(good.hasHeld()).to.equal(true)
    good.add(false, 'promise', '2')
    good.add(true, 'promise', '3')
    expect(good.hasHeld()).to.equal(false)
    const broken = create()
    broken.add(true, 'promise', '1')
    await broken.run('phase', () => Promise.reject(new Error('no answer')))
    expect(broken.hasHeld()).to.equal(false)
    expect(lines.at(-1)).to.equal('  FAILED  phase runs to its end: no answer')
  })
})
