import { expect } from 'chai'
import { createDemoReport } from '../../src/demo/createDemoReport.js'

describe('createDemoReport', () => {
  it('fails without any result, after a failed result and after a phase that rejected (guards against a demo that passes by default)', async () => {
    const lines: string[] = []
    const create = (): ReturnType<typeof createDemoReport> => createDemoReport((line) => lines.push(line))
    expect(create().hasPassed()).to.equal(false)
    const good = create()
    good.addResult(true, 'promise', '1')
    expect(good.hasPassed()).to.equal(true)
    good.addResult(false, 'promise', '2')
    good.addResult(true, 'promise', '3')
    expect(good.hasPassed()).to.equal(false)
    const broken = create()
    broken.addResult(true, 'promise', '1')
    await broken.runPhase('phase', () => Promise.reject(new Error('no answer')))
    expect(broken.hasPassed()).to.equal(false)
    expect(lines.at(-1)).to.equal('  FAILED  phase runs to its end: no answer')
  })
})
