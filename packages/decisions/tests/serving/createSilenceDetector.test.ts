import { toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import { createSilenceDetector, type SilenceDetector, type TrackedCall } from '../../src/serving/createSilenceDetector.js'

interface NamedCall extends TrackedCall { readonly name: string }

describe('createSilenceDetector', () => {
  let detector: SilenceDetector<NamedCall>
  beforeEach(() => { detector = createSilenceDetector() })

  function send (name: string, at: number, isReused = true): NamedCall {
    const call = { name, sentAt: toMilliseconds(at), isReused, typicalMs: 200 }
    detector.recordSend(call)
    return call
  }
  function listSilent (now: number): string[] {
    return detector.check(toMilliseconds(now)).silent.map(({ name }) => name)
  }

  it('finds calls on kept connections that later ones have overtaken (guards against requests lost on silent connections one deadline at a time)', () => {
    send('a', 0)
    send('b', 10)
    send('c', 20)
    expect(listSilent(250)).to.deep.equal([])
    detector.recordAnswer(send('later', 150))
    expect(listSilent(150)).to.deep.equal([])
    expect(listSilent(250)).to.deep.equal(['a', 'b', 'c'])
    expect(listSilent(260)).to.deep.equal([])
  })

  it('does not take a single late call for a silent connection (guards against slow requests that are cut)', () => {
    send('slow', 0)
    detector.recordAnswer(send('later', 150))
    expect(listSilent(5000)).to.deep.equal([])
  })

  it('does not suspect new connections, nor a server that answers in order (guards against requests of a slow server that are cut)', () => {
    send('a', 0, false)
    send('b', 0, false)
    detector.recordAnswer(send('later', 150))
    send('c', 160)
    send('d', 170)
    expect(listSilent(5000)).to.deep.equal([])
  })

  it('doubts few calls while nothing is answered, so that another call can prove the server (guards against slots that are all taken by lost calls)', () => {
    for (let index = 0; index < 6; index++) send(String(index), index)
    const doubted = [300, 400, 500, 600].map((now) => detector.check(toMilliseconds(now)).doubted?.name)
    expect(doubted).to.deep.equal(['0', '1', undefined, undefined])
    detector.recordAnswer(send('fresh', 610, false))
    expect(listSilent(650)).to.deep.equal(['0', '1', '2', '3', '4', '5'])
  })
})
