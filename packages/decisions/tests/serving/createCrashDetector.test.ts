import { toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import { createCrashDetector, type ServerCrash } from '../../src/serving/createCrashDetector.js'

const at = toMilliseconds
const request = (name: string): { attemptId: string, fingerprint: string } => ({ attemptId: `id-${name}`, fingerprint: name })
const list = (crash: ServerCrash | undefined): string[] | undefined => crash?.lost.map(({ fingerprint }) => fingerprint)

describe('createCrashDetector', () => {
  it('names the requests that were lost just before the server refuses connections', () => {
    const detector = createCrashDetector()
    detector.recordLoss(request('old'), at(0))
    detector.recordLoss(request('a'), at(1980))
    detector.recordLoss(request('b'), at(1981))
    expect(list(detector.recordRefusedConnection(at(2000)))).to.deep.equal(['a', 'b'])
  })

  it('finds no crash in lost connections alone (guards against healthy requests blamed for a server that resets connections)', () => {
    const detector = createCrashDetector()
    for (let index = 0; index < 100; index++) expect(detector.recordLoss(request(`r${index}`), at(index))).to.equal(undefined)
  })

  it('adds requests whose loss is noticed after the refused connection to the same crash', () => {
    const detector = createCrashDetector()
    const first = detector.recordRefusedConnection(at(10))
    const second = detector.recordLoss(request('a'), at(11))
    expect([first?.number, list(first), second?.number, list(second)]).to.deep.equal([1, [], 1, ['a']])
  })

  it('counts one crash for each run (guards against one crash that counts as several)', () => {
    const detector = createCrashDetector()
    detector.recordLoss(request('a'), at(0))
    expect(detector.recordRefusedConnection(at(1))?.number).to.equal(1)
    expect(detector.recordRefusedConnection(at(50))).to.equal(undefined)
    expect(detector.recordRestart(at(3000))).to.equal(undefined)
    detector.recordLoss(request('a'), at(3100))
    expect(detector.recordRefusedConnection(at(3101))).to.deep.equal({ number: 2, lost: [request('a')] })
  })

  it('finds a crash by the report of another run (guards against a server that is back before the next request)', () => {
    const detector = createCrashDetector()
    detector.recordLoss(request('alone'), at(0))
    detector.recordLoss(request('a'), at(500))
    detector.recordLoss(request('b'), at(510))
    expect(list(detector.recordRestart(at(1200)))).to.deep.equal(['a', 'b'])
    expect(detector.recordRestart(at(1300))).to.equal(undefined)
  })

  it('blames no request for a restart long after its loss, or for a planned end', () => {
    const detector = createCrashDetector()
    detector.recordLoss(request('a'), at(0))
    expect(detector.recordRestart(at(10_001))).to.equal(undefined)
    detector.recordLoss(request('a'), at(20_000))
    detector.reset()
    expect(detector.recordRestart(at(20_010))).to.equal(undefined)
  })

  it('keeps a limited number of requests (guards against unbounded memory use)', () => {
    const detector = createCrashDetector()
    for (let index = 0; index < 1000; index++) detector.recordLoss(request(`r${index}`), at(index / 1000))
    const lost = list(detector.recordRefusedConnection(at(2)))
    expect(lost?.length).to.equal(24)
    expect(lost?.at(-1)).to.equal('r999')
  })
})
