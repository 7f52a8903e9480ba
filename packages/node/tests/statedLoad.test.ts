import { PLATFORM_HEADERS } from '@snipenotch/platform'
import { expect } from 'chai'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { composePlatformConfiguration } from '../../../platform/tests/composeWire.js'
import { answerSigned, awaitCondition, send, startTestMesh, type TestHost, type TestMesh } from './startTestMesh.js'

const SLOTS = 4
const WORK_MS = 20

describe('load stated by the backend server', () => {
  let mesh: TestMesh
  let host: TestHost
  /** Requests of an earlier process of the node that the server still runs. */
  let leftBehind: number
  let running: number
  let shed: number
  let serial: number
  let composeLoad: () => string | string[] | undefined

  function handle (incoming: IncomingMessage, response: ServerResponse): void {
    const load = composeLoad()
    if (load !== undefined) response.setHeader(PLATFORM_HEADERS.instanceLoad, load)
    if (running + leftBehind >= SLOTS) {
      shed += 1
      response.setHeader(PLATFORM_HEADERS.notRun, '1')
      answerSigned(incoming, response, 'full', 503)
      return
    }
    running += 1
    setTimeout(() => {
      const current = composeLoad()
      if (current !== undefined) response.setHeader(PLATFORM_HEADERS.instanceLoad, current)
      running -= 1
      answerSigned(incoming, response, 'ok')
    }, WORK_MS)
  }

  async function ask (): Promise<number> {
    serial += 1
    return (await send(host.settings.callers.port, '/parts/1', { [PLATFORM_HEADERS.attemptId]: `id-${serial}` })).status
  }

  beforeEach(async () => {
    leftBehind = 0
    running = 0
    shed = 0
    serial = 0
    composeLoad = () => `${running + leftBehind},0,${SLOTS}`
    mesh = await startTestMesh()
    host = await mesh.startHost('krakow-1', 'parts')
    await mesh.putOperatorRow('config', composePlatformConfiguration(1, ['parts'], { coldPerSecond: 1000 }))
    host.backend.handle = handle
    await host.report()
    await host.report()
    await awaitCondition('requests are served', async () => (await ask()) === 200)
  })
  afterEach(() => mesh.close())

  it('sends no more than the server has room for beside requests left behind by an earlier process (guards against requests refused by a full server)', async () => {
    leftBehind = 3
    await ask()
    await ask()
    shed = 0
    const statuses = await Promise.all(Array.from({ length: 4 }, ask))
    expect({ statuses, shed }).to.deep.equal({ statuses: [200, 200, 200, 200], shed: 0 })
  })

  const ignored: Array<[string, string | string[] | undefined]> = [
    ['no', undefined], ['a malformed', 'busy'], ['a negative', '-3,0,4'], ['a fractional', '1.5,0,4'],
    ['a huge', '4,0,99999999999'], ['a contradictory', '9,0,4'], ['a repeated', ['4,0,1', '4,0,1']]
  ]
  for (const [title, value] of ignored) {
    it(`uses all slots of a server that states ${title} load (guards against a header that slows a server down)`, async () => {
      composeLoad = () => value
      await ask()
      await ask()
      let most = 0
      host.backend.handle = (incoming, response) => {
        handle(incoming, response)
        most = Math.max(most, running)
      }
      const statuses = await Promise.all(Array.from({ length: SLOTS }, ask))
      expect({ statuses, most }).to.deep.equal({ statuses: Array(SLOTS).fill(200), most: SLOTS })
    })
  }
})
