import { randomUUID } from 'node:crypto'
import { mkdirSync, writeFileSync } from 'node:fs'
import path from 'node:path'
import { drainOrderSchema } from '@snipenotch/contracts'
import { expect } from 'chai'
import { awaitCondition } from '../../src/mesh/awaitCondition.js'
import { OPERATORS_SECRET } from '../../src/mesh/formatSettings.js'
import type { EmulatedHost } from '../../src/mesh/startHost.js'
import type { EmulatedMesh } from '../../src/mesh/startMesh.js'
import {
  buildPlans, formatIntents, APPLY_LIMIT_MS, measureApplyTime, HANG_TIMEOUT_MS, readStatuses, startPublishedMesh
} from './meshFixture.js'

const ROUNDS = 4

describe('concurrent commands of operators', () => {
  let mesh: EmulatedMesh

  before(async () => { mesh = await startPublishedMesh(buildPlans(['krakow', 'katowice']).slice(1, 5), { proxiedLinks: ['platform', 'peers'] }) })
  after(async () => { await mesh.stop() })

  function writeIntents (operator: string, queue: number): string {
    const directory = path.join(mesh.directory, `intent-${operator}`)
    for (const [service, text] of Object.entries(formatIntents(queue))) {
      mkdirSync(path.join(directory, service), { recursive: true })
      writeFileSync(path.join(directory, service, 'snipenotch.toml'), text)
    }
    return directory
  }

  async function sendOrder (host: EmulatedHost, action: 'drain' | 'restore'): Promise<string> {
    const body = JSON.stringify({ subject: 'data-centre/katowice', action, operator: host.host, id: randomUUID() })
    const response = await fetch(`http://${host.adminAddress}/orders`, {
      method: 'POST', body, headers: { authorization: `Bearer ${OPERATORS_SECRET}` }
    })
    expect(response.status).to.equal(200)
    return drainOrderSchema.parse(await response.json()).id
  }

  it('F7: two concurrent publishes yield one sequence of versions, and a publish that loses reports it (guards against a lost update)', async () => {
    let losses = 0
    for (let round = 0; round < ROUNDS; round += 1) {
      const before = (await mesh.repository.readCurrent()).unwrap()!.version
      // The delay lets both commands read the same version before either writes.
      mesh.platform.faults.delayMs = 50
      const results = await Promise.all([0, 1].map((side) =>
        mesh.runCommand('publish', writeIntents(`operator-${side}`, 50 + round * 2 + side))))
      mesh.platform.faults.delayMs = 0
      const accepted = results.filter(({ code }) => code === 0)
      const lost = results.filter(({ code }) => code === 4)
      expect(accepted.length + lost.length, JSON.stringify(results)).to.equal(2)
      for (const { output } of lost) {
        expect(output).to.equal(`not published: version ${before + 1} by emulator was accepted first\n`)
      }
      losses += lost.length
      const after = (await mesh.repository.readCurrent()).unwrap()!.version
      expect(after - before).to.equal(accepted.length)
      expect(accepted.map(({ output }) => output).sort()).to.deep.equal(
        accepted.map((_result, index) => `accepted as version ${before + 1 + index}\n`))
    }
    expect(losses, 'rounds in which the publishes met').to.be.greaterThan(0)
    const history = (await mesh.repository.listHistory(100)).unwrap().map(({ version }) => version)
    expect(history).to.deep.equal(Array.from({ length: history.length }, (_, index) => history.length - index))
    expect(await measureApplyTime(mesh.hosts, history[0]!)).to.be.at.most(APPLY_LIMIT_MS)
    const digests = (await readStatuses(mesh.hosts)).map((status) => status?.configurationDigest)
    expect(new Set(digests)).to.have.lengthOf(1)
  })

  it('F7: concurrent drain and restore orders through different nodes converge on every node (guards against nodes that keep different orders)', async () => {
    const [first, , , last] = mesh.hosts
    for (let round = 0; round < ROUNDS; round += 1) {
      const ids = await Promise.all([sendOrder(first!, 'drain'), sendOrder(last!, 'restore')])
      // The same order must be on every node in two consecutive reads, so that an update in flight cannot change it.
      let seen = ''
      await awaitCondition('one order everywhere', async () => {
        const orders = (await readStatuses(mesh.hosts)).map((status) => status?.orders.map(({ id, number }) => `${id} ${number}`).join())
        const same = new Set(orders).size === 1 && ids.some((id) => orders[0]?.startsWith(id)) ? orders[0]! : ''
        const stable = same !== '' && same === seen
        seen = same
        return stable
      }, HANG_TIMEOUT_MS)
      await awaitCondition('the order is in the table', async () => {
        const rows = await fetch(`http://${mesh.platformAddress}/rows/${encodeURIComponent('order/data-centre/katowice')}`)
        return rows.status === 200 && seen.startsWith((await rows.json() as { value: { id: string } }).value.id)
      }, HANG_TIMEOUT_MS)
    }
  })
})
