import { composeRowVersion, createSystemClock } from '@snipenotch/contracts'
import { createReplica, type Replica, type ReplicaRow } from '@snipenotch/decisions'
import { OPERATOR_TABLE } from '@snipenotch/platform'
import { expect } from 'chai'
import { Agent, request, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import {
  createPeerServer, formatRowsPath, parseCopyAges, parseHeldTime, PEER_PATHS, PROVEN_AGES_HEADER
} from '../../src/peers/createPeerServer.js'
import { requestPeer } from '../../src/peers/requestPeer.js'
import { type CopyAges, createCopyAges } from '../../src/rows/createCopyAges.js'
import { createTableCursors, type TableCursors } from '../../src/rows/createTableCursors.js'
import { decodeRows, type RowsResponse } from '../../src/rows/rowsCodec.js'
import { FOLLOWED_TABLES, MESH_TABLE } from '../../src/rows/TABLES.js'

const row = (key: string, version: number): ReplicaRow => ({ table: MESH_TABLE, key, value: 'v', version })
/** Versions for a request: the given one for the mesh table, and one above all rows for the other table. */
const askFrom = (version: number): number[] => FOLLOWED_TABLES.map((table) => table === MESH_TABLE ? version : 1000)

describe('createPeerServer', () => {
  const agent = new Agent({ keepAlive: false })
  let replica: Replica
  let cursors: TableCursors
  let copyAges: CopyAges
  let server: Server
  let address: string
  let isConnected: boolean

  async function ask (version: number, waitMs: number): Promise<RowsResponse> {
    const response = await requestPeer(agent, address, formatRowsPath(askFrom(version), waitMs), 10_000)
    const answer = response === undefined ? undefined : decodeRows(response.body)
    if (answer === undefined) throw new Error('found no valid response')
    return answer
  }
  const listKeys = (answer: RowsResponse): string[] =>
    answer.updates.flatMap(({ table, rows }) => table === MESH_TABLE ? rows.map(({ key }) => key) : [])
  function put (version: number, ...rows: ReplicaRow[]): void {
    replica.merge(rows)
    cursors.set(MESH_TABLE, { version, fullReadVersion: 5 })
  }

  beforeEach(async () => {
    replica = createReplica()
    cursors = createTableCursors()
    copyAges = createCopyAges(createSystemClock())
    isConnected = true
    server = createPeerServer({
      replica,
      cursors,
      copyAges,
      isStoreConnected: () => isConnected,
      getStoreTime: () => 77,
      receiveSuspects: () => undefined
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    put(8, row('a', 4), row('b', 8))
  })
  afterEach(() => { server.close() })

  for (const target of ['//', 'http://[', '/\\[']) {
    it(`answers a request for ${target} (guards against a peer that waits for good)`, async () => {
      const status = await new Promise<number | undefined>((resolve, reject) => {
        const { port } = server.address() as AddressInfo
        request({ agent, host: '127.0.0.1', port, path: target }, (incoming) => { resolve(incoming.resume().statusCode) })
          .on('error', reject).end()
      })
      expect(status).to.equal(404)
    })
  }

  it('holds the request until there is a change', async () => {
    const answer = ask(8, 9000)
    await new Promise((resolve) => { setTimeout(resolve, 50) })
    put(11, row('c', 10))
    expect(listKeys(await answer)).to.deep.equal(['c'])
  })

  it('responds without changes, but with the time of the store, when the wait time is over', async () => {
    const answer = await ask(8, 20)
    expect(listKeys(answer)).to.be.empty
    expect(answer).to.include({ isConnected: true, storeTime: 77 })
    isConnected = false
    expect((await ask(8, 20)).isConnected).to.equal(false)
  })

  it('states the age of its copies beside a cached response (guards against an old copy counted as new)', async () => {
    copyAges.record(MESH_TABLE, 40)
    const path = formatRowsPath(askFrom(4), 20)
    for (const leastMs of [40, 60]) {
      const ages = parseCopyAges((await requestPeer(agent, address, path, 5000))?.headers ?? {})
      const age = ages[FOLLOWED_TABLES.indexOf(MESH_TABLE)]
      expect(age).to.be.within(leastMs, 5000)
      expect(ages.filter((other) => other === Infinity)).to.have.length(FOLLOWED_TABLES.length - 1)
      await new Promise((resolve) => { setTimeout(resolve, 20) })
    }
  })

  it('responds when the copy of the operator is proven, and states how long it held the request (guards against followers that take their copies for older)', async () => {
    const path = formatRowsPath(askFrom(8), 9000)
    cursors.set(OPERATOR_TABLE, { version: 1, fullReadVersion: 1 })
    const responding = requestPeer(agent, address, path, 10_000)
    await new Promise((resolve) => { setTimeout(resolve, 50) })
    copyAges.recordProven(MESH_TABLE, copyAges.readClocks(), 0)
    await new Promise((resolve) => { setTimeout(resolve, 50) })
    copyAges.recordProven(OPERATOR_TABLE, copyAges.readClocks(), -30)
    const headers = (await responding)?.headers ?? {}
    expect(parseHeldTime(headers)).to.be.within(90, 5000)
    const ages = parseCopyAges(headers, PROVEN_AGES_HEADER)
    expect(ages[FOLLOWED_TABLES.indexOf(OPERATOR_TABLE)]).to.be.within(30, 5000)
  })

  it('states no time that an earlier build does not state', () => {
    expect([{}, { 'x-held-ms': '600' }, { 'x-held-ms': 'x' }].map(parseHeldTime)).to.deep.equal([undefined, 600, undefined])
  })

  it('sends the whole table if the requested version is older than its full read (guards against missed removals)', async () => {
    const update = (await ask(4, 9000)).updates.find(({ table }) => table === MESH_TABLE)
    expect(update).to.include({ isFullTable: true, version: 8 })
    expect(update?.rows.map(({ key }) => key)).to.deep.equal(['a', 'b'])
  })

  it('sends the whole table to a node of an earlier era, and holds it where none is stated (guards against a loop of full tables to earlier builds)', async () => {
    const restoredAt = composeRowVersion(1, 3)
    replica.merge([row('b', composeRowVersion(1, 2))])
    cursors.set(MESH_TABLE, { version: restoredAt, fullReadVersion: restoredAt })
    const held = ask(60, 300)
    expect(listKeys(await ask(composeRowVersion(1, 1), 9000))).to.deep.equal(['a', 'b'])
    expect(listKeys(await ask(restoredAt, 20))).to.be.empty
    replica.merge([row('c', composeRowVersion(1, 4))])
    cursors.set(MESH_TABLE, { version: composeRowVersion(1, 4), fullReadVersion: restoredAt })
    const [update] = (await held).updates.filter(({ table }) => table === MESH_TABLE)
    expect(update).to.include({ isFullTable: true, version: composeRowVersion(1, 4) })
    expect(update?.rows.map(({ key }) => key)).to.deep.equal(['a', 'b', 'c'])
  })

  it('does not respond early for a row beyond its cursor (guards against sending the same row repeatedly)', async () => {
    put(8, row('own-write', 20))
    const answer = await ask(8, 20)
    expect(answer.updates.find(({ table }) => table === MESH_TABLE)?.version).to.equal(8)
  })

  it('responds to pings and rejects unknown paths', async () => {
    expect((await requestPeer(agent, address, PEER_PATHS.ping, 5000))?.body).to.have.length(0)
    expect(await requestPeer(agent, address, '/other', 5000)).to.equal(undefined)
  })
})
