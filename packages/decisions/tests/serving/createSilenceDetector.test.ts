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
  const answer = (call: NamedCall, at: number): void => { detector.recordAnswer(call, toMilliseconds(at)) }
  const listSilent = (now: number): string[] =>
    detector.check(toMilliseconds(now)).silent.map(({ name }) => name)

  it('finds calls on kept connections that later ones have overtaken (guards against slots taken until the deadlines of lost calls)', () => {
    for (const [index, name] of ['a', 'b', 'c'].entries()) send(name, index * 10)
    expect(listSilent(250)).to.deep.equal([])
    answer(send('later', 150), 200)
    expect(listSilent(200)).to.deep.equal([])
    expect(listSilent(250)).to.deep.equal(['a', 'b', 'c'])
    expect(listSilent(260)).to.deep.equal([])
  })

  it('suspects kept connections once while nothing is answered', () => {
    for (const name of ['a', 'b', 'c']) send(name, 0)
    const suspicions = [100, 250, 300, 400].map((now) => detector.check(toMilliseconds(now)).isSuspicious)
    expect(suspicions).to.deep.equal([false, true, false, false])
    for (const name of ['d', 'e']) send(name, 300)
    expect(detector.check(toMilliseconds(600)).isSuspicious).to.equal(true)
  })

  it('does not take a single late call for a silent connection (guards against slow requests that lose their slots)', () => {
    send('slow', 0)
    answer(send('later', 150), 200)
    expect(listSilent(5000)).to.deep.equal([])
  })

  it('does not suspect new connections, nor calls that were not overtaken', () => {
    send('a', 0, false)
    send('b', 0, false)
    answer(send('later', 150), 200)
    send('c', 160)
    send('d', 170)
    expect(listSilent(5000)).to.deep.equal([])
  })

  it('does not take a server that has become slow for silent, although short requests overtake long ones (guards against requests given up while their server works)', () => {
    const long = ['a', 'b', 'c'].map((name) => send(name, 0))
    answer(send('short', 20), 440)
    answer(send('shorter', 460), 800)
    expect(listSilent(1200)).to.deep.equal([])
    for (const call of long) answer(call, 1250)
    send('d', 1260)
    send('e', 1260)
    answer(send('f', 1270), 2000)
    expect(listSilent(3500)).to.deep.equal([])
  })
})
