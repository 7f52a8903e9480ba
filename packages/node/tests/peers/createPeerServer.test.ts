import { createReplica, type Replica, type ReplicaRow } from '@snipenotch/decisions'
import { expect } from 'chai'
import { Agent, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createPeerServer, encodeRowsPath, PEER_PATHS } from '../../src/peers/createPeerServer.js'
import { requestPeer } from '../../src/peers/requestPeer.js'
import { createTableCursors, type TableCursors } from '../../src/rows/createTableCursors.js'
import { decodeRows, type RowsAnswer } from '../../src/rows/rowsCodec.js'
import { FOLLOWED_TABLES, MESH_TABLE } from '../../src/rows/TABLES.js'

const row = (key: string, version: number): ReplicaRow => ({ table: MESH_TABLE, key, value: 'v', version })
/** Versions to ask with: the one given for the table of hosts, and more than there is for the other. */
const askFrom = (version: number): number[] => FOLLOWED_TABLES.map((table) => table === MESH_TABLE ? version : 1000)

describe('createPeerServer', () => {
  const agent = new Agent({ keepAlive: false })
  let replica: Replica
  let cursors: TableCursors
  let server: Server
  let address: string
  let isConnected: boolean

  async function ask (version: number, waitMs: number): Promise<RowsAnswer> {
    const body = await requestPeer(agent, address, encodeRowsPath(askFrom(version), waitMs), 10_000)
    const answer = body === undefined ? undefined : decodeRows(body)
    if (answer === undefined) throw new Error('found no readable answer')
    return answer
  }
  const listKeys = (answer: RowsAnswer): string[] =>
    answer.updates.flatMap(({ table, rows }) => table === MESH_TABLE ? rows.map(({ key }) => key) : [])
  function put (version: number, ...rows: ReplicaRow[]): void {
    replica.merge(rows)
    cursors.set(MESH_TABLE, { version, floor: 5 })
  }

  beforeEach(async () => {
    replica = createReplica()
    cursors = createTableCursors()
    isConnected = true
    server = createPeerServer({ replica, cursors, isStoreConnected: () => isConnected, getStoreTime: () => 77 })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    put(8, row('a', 4), row('b', 8))
  })
  afterEach(() => { server.close() })

  it('holds the question until there is a change', async () => {
    const answer = ask(8, 9000)
    await new Promise((resolve) => { setTimeout(resolve, 50) })
    put(11, row('c', 10))
    expect(listKeys(await answer)).to.deep.equal(['c'])
  })

  it('answers without news when the time is over, with the time of the store', async () => {
    const answer = await ask(8, 20)
    expect(listKeys(answer)).to.be.empty
    expect(answer).to.include({ isConnected: true, storeTime: 77 })
    isConnected = false
    expect((await ask(8, 20)).isConnected).to.equal(false)
  })

  it('gives the whole table to who asks from before it was read (guards against removals that nobody saw)', async () => {
    const update = (await ask(4, 9000)).updates.find(({ table }) => table === MESH_TABLE)
    expect(update).to.include({ isWhole: true, version: 8 })
    expect(update?.rows.map(({ key }) => key)).to.deep.equal(['a', 'b'])
  })

  it('does not wake for a row beyond its cursor (guards against an answer that repeats itself)', async () => {
    put(8, row('own-write', 20))
    const answer = await ask(8, 20)
    expect(answer.updates.find(({ table }) => table === MESH_TABLE)?.version).to.equal(8)
  })

  it('answers pings and nothing else', async () => {
    expect(await requestPeer(agent, address, PEER_PATHS.ping, 5000)).to.have.length(0)
    expect(await requestPeer(agent, address, '/other', 5000)).to.equal(undefined)
  })
})
