import type { AddressInfo } from 'node:net'
import { composeConfiguration, intentSchema, type Configuration } from '@snipenotch/contracts'
import { createPlatformStandIn, type PlatformStandIn } from '@snipenotch/stand-ins'
import { expect } from 'chai'
import { createConfigurationRepository, type ConfigurationRepository } from '../src/createConfigurationRepository.js'
import { HttpObjectStore } from '../src/HttpObjectStore.js'
import { HttpTableService } from '../src/HttpTableService.js'
import { TableService, type ListOptions, type Transaction } from '../src/TableService.js'

function composeNext (operationId: string, author: string, path = '/clocks') {
  const intent = intentSchema.parse({
    service: 'clocks', stable: 'v1', route: [{ name: 'status', method: 'GET', path, idempotent: true }]
  })
  return (previous: Configuration | undefined) =>
    composeConfiguration(previous, [intent], { operationId, author, acceptedAt: 1, summary: 'test' })
}

/** Runs an action between the reads of a publish and its transaction. */
class HookedTable extends TableService {
  readonly #table: TableService
  readonly #beforeTransaction: () => Promise<void>

  constructor (table: TableService, beforeTransaction: () => Promise<void>) {
    super()
    this.#table = table
    this.#beforeTransaction = beforeTransaction
  }

  override read (key: string) { return this.#table.read(key) }
  override list (prefix: string, options?: ListOptions) { return this.#table.list(prefix, options) }
  override async transact (transaction: Transaction) {
    await this.#beforeTransaction()
    return await this.#table.transact(transaction)
  }
}

describe('createConfigurationRepository', () => {
  let platform: PlatformStandIn
  let repository: ConfigurationRepository
  let table: HttpTableService
  let objects: HttpObjectStore
  let lossSchedule: boolean[]
  let isDownAfterLoss: boolean

  beforeEach(async () => {
    lossSchedule = []
    isDownAfterLoss = false
    platform = createPlatformStandIn(() => {
      const isLost = lossSchedule.shift() ?? false
      if (isLost && isDownAfterLoss) platform.faults.down = true
      return isLost ? 0 : 1
    })
    platform.faults.loseAnswers = 0.5
    await new Promise<void>((resolve) => platform.server.listen(0, '127.0.0.1', resolve))
    const address = `127.0.0.1:${(platform.server.address() as AddressInfo).port}`
    table = new HttpTableService(address, 500)
    objects = new HttpObjectStore(address, 500)
    repository = createConfigurationRepository(table, objects)
  })

  afterEach(() => {
    platform.server.closeAllConnections()
    platform.server.close()
  })

  it('publishes consecutive versions and lists them newest first', async () => {
    for (const operation of ['a', 'b', 'c']) (await repository.publish(operation, composeNext(operation, 'ada'))).unwrap()
    const history = (await repository.listHistory(2)).unwrap()
    expect(history.map(({ version, operationId }) => [version, operationId])).to.deep.equal([[3, 'c'], [2, 'b']])
    expect((await repository.readAccepted()).unwrap()?.configuration.version).to.equal(3)
  })

  it('publishes once if the response to the transaction is lost (guards against publishing a change twice)', async () => {
    lossSchedule = [false, true]
    const first = await repository.publish('a', composeNext('a', 'ada'))
    expect(first.unwrap()).to.include({ version: 1, written: true })
    const again = await repository.publish('a', composeNext('a', 'ada'))
    expect(again.unwrap()).to.include({ version: 1, written: false })
    expect((await repository.listHistory(10)).unwrap()).to.have.length(1)
  })

  it('tells the loser of a race who won, and keeps the version of the winner in force', async () => {
    ;(await repository.publish('a', composeNext('a', 'ada'))).unwrap()
    // The second publish runs between the first one's reads and its transaction, so that both build on version 1.
    const hookedTable = new HookedTable(table, async () => {
      ;(await repository.publish('c', composeNext('c', 'cid', '/c'))).unwrap()
    })
    const loser = await createConfigurationRepository(hookedTable, objects).publish('b', composeNext('b', 'ben', '/b'))
    expect(loser.isErr() && loser.error).to.deep.equal({ kind: 'lost-race', version: 2, author: 'cid' })
    expect((await repository.readAccepted()).unwrap()?.configuration.author).to.equal('cid')
    expect((await repository.listHistory(10)).unwrap()).to.have.length(2)
  })

  const holdLease = async (revision: number, fencing: number) => {
    const key = 'lease/controller'
    const value = { holder: 'x', fencing, expiresAt: 1 }
    ;(await table.transact({ conditions: [{ key, revision }], writes: [{ key, value }] })).unwrap()
  }
  const fencingToken = { lease: 'controller', fencing: 1 }

  it('publishes while the lease is held', async () => {
    await holdLease(0, 1)
    expect((await repository.publish('a', composeNext('a', 'ada'), fencingToken)).isOk()).to.equal(true)
  })

  it('refuses a former holder of the lease', async () => {
    await holdLease(0, 2)
    const outcome = await repository.publish('a', composeNext('a', 'ada'), fencingToken)
    expect(outcome.isErr() && outcome.error).to.deep.equal({ kind: 'fenced', lease: 'controller' })
  })

  it('refuses a write if the lease changes hands after the check (guards against a paused lease holder)', async () => {
    await holdLease(0, 1)
    const hookedTable = new HookedTable(table, async () => { await holdLease(1, 2) })
    const pausedRepository = createConfigurationRepository(hookedTable, objects)
    const outcome = await pausedRepository.publish('a', composeNext('a', 'ada'), fencingToken)
    expect(outcome.isErr() && outcome.error).to.deep.equal({ kind: 'fenced', lease: 'controller' })
    expect((await repository.readCurrent()).unwrap()).to.equal(undefined)
  })

  it('reports an unknown outcome if the response is lost and reading back fails', async () => {
    lossSchedule = [false, true]
    isDownAfterLoss = true
    const outcome = await repository.publish('a', composeNext('a', 'ada'))
    expect(outcome.isErr() && outcome.error.kind).to.equal('outcome-unknown')
    platform.faults.down = false
    const again = await repository.publish('a', composeNext('a', 'ada'))
    expect(again.unwrap()).to.include({ version: 1, written: false })
  })

  it('reports that nothing was published if the store is unavailable before the write', async () => {
    platform.faults.down = true
    const outcome = await repository.publish('a', composeNext('a', 'ada'))
    expect(outcome.isErr() && outcome.error.kind).to.equal('unavailable')
  })

  it('rejects a configuration with a dangling route and writes nothing', async () => {
    const outcome = await repository.publish('a', (previous) => ({ ...composeNext('a', 'ada')(previous), services: {} }))
    expect(outcome.isErr() && outcome.error.kind).to.equal('rejected')
    expect((await repository.readCurrent()).unwrap()).to.equal(undefined)
  })
})
