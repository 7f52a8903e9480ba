import { toMilliseconds } from '@snipenotch/contracts'
import { PLATFORM_HEADERS } from '@snipenotch/platform'
import { expect } from 'chai'
import { WebSocket } from 'ws'
import { composePlatformConfiguration } from '../../../platform/tests/composeWire.js'
import { encodeBatch } from '../src/peers/forwardingCodec.js'
import { createJob } from './createJob.js'
import { answerSigned, awaitCondition, send, startTestMesh, type TestHost, type TestMesh } from './startTestMesh.js'

/** Largest number of requests that a cold backend server may get in any second: 1.5 times the stated 20, and 5 more. */
const COLD_BOUND = 35
/** Requests per second that a cold backend server can take, as configured. */
const STATED_RATE = 20
const COLD_MS = 3000
const REQUESTS = 400

describe('cold backend servers', () => {
  let mesh: TestMesh
  let entry: TestHost
  let targetHost: TestHost
  let arrivals: number[]
  /** End of the cold phase; requests that arrive later are not counted. */
  let coldUntil: number

  function recordArrival (): void {
    if (performance.now() < coldUntil) arrivals.push(performance.now())
  }

  function turnCold (): void {
    targetHost.backend.coldMs = COLD_MS
    coldUntil = performance.now() + COLD_MS
    arrivals.length = 0
  }

  beforeEach(async () => {
    mesh = await startTestMesh()
    entry = await mesh.startHost('katowice-1', 'clocks', { dataCentre: 'katowice' })
    targetHost = await mesh.startHost('krakow-1', 'parts')
    await mesh.putOperatorRow('config', composePlatformConfiguration(1, ['clocks', 'parts']))
    await entry.report()
    await targetHost.report()
    arrivals = []
    coldUntil = Infinity
    targetHost.backend.handle = (incoming, response) => {
      recordArrival()
      answerSigned(incoming, response, 'answer')
    }
    await awaitServed()
    // The node is past its start delay for cold servers, and its backend server is known to be warm.
    await new Promise((resolve) => { setTimeout(resolve, 1500) })
    await targetHost.report()
  })
  afterEach(() => mesh.close())

  async function awaitServed (): Promise<void> {
    await awaitCondition('it is served', async () =>
      (await send(entry.settings.callers.port, '/parts/1')).status === 200)
  }

  async function press (): Promise<void> {
    const open: Array<Promise<unknown>> = []
    for (let index = 0; index < REQUESTS; index++) {
      open.push(send(entry.settings.callers.port, '/parts/1').catch((error: unknown) => error))
      await new Promise((resolve) => { setTimeout(resolve, 3) })
    }
    await Promise.all(open)
  }

  const countMost = (): number =>
    Math.max(0, ...arrivals.map((from) => arrivals.filter((at) => at >= from && at < from + 1000).length))

  it('are not overloaded after the evacuation of their data centre ends (guards against a warm state from before the evacuation)', async () => {
    await mesh.putOperatorRow('evacuate/krakow', {})
    await awaitCondition('it is refused', async () => (await send(entry.settings.callers.port, '/parts/1')).status === 503)
    turnCold()
    await mesh.putOperatorRow('evacuate/krakow', undefined)
    await awaitServed()
    await press()
    expect(countMost()).to.be.at.most(COLD_BOUND)
    expect(arrivals.length).to.be.at.least(STATED_RATE)
  })

  it('are not overloaded after a restart that closes connections (guards against a warm state from before the restart)', async () => {
    targetHost.backend.handle = (incoming) => {
      turnCold()
      targetHost.backend.handle = (later, response) => {
        recordArrival()
        answerSigned(later, response, 'answer')
      }
      incoming.socket.destroy()
    }
    await send(entry.settings.callers.port, '/parts/1').catch((error: unknown) => error)
    await press()
    expect(countMost()).to.be.at.most(COLD_BOUND)
    expect(arrivals.length).to.be.at.least(STATED_RATE)
  })

  it('are not overloaded by a node without a configuration (guards against a missing limit while the configuration is unknown)', async () => {
    mesh.store.fault = 'refuse'
    const isolatedHost = await mesh.startHost('krakow-2', 'parts')
    isolatedHost.backend.handle = (incoming, response) => {
      arrivals.push(performance.now())
      answerSigned(incoming, response, 'answer')
    }
    // Without a configuration the health path is unknown, so the second report confirms the backend server.
    for (let index = 0; index < 2; index++) await isolatedHost.report({ coldMs: COLD_MS })
    const socket = new WebSocket(`ws://127.0.0.1:${isolatedHost.settings.requests.port}/`)
    await new Promise((resolve) => { socket.once('open', resolve) })
    for (let id = 1; id <= REQUESTS; id++) {
      const now = isolatedHost.context.clock.now()
      const job = createJob({
        attemptId: `id-${id}`,
        headers: ['Host', 'a.example', PLATFORM_HEADERS.attemptId, `id-${id}`],
        targetAt: toMilliseconds(now + 200),
        deadlineAt: toMilliseconds(now + 1500)
      })
      socket.send(encodeBatch([{ kind: 'run', id, job }], now))
      await new Promise((resolve) => { setTimeout(resolve, 3) })
    }
    socket.terminate()
    expect(countMost()).to.be.within(1, COLD_BOUND)
  })
})
