import { CURRENT_ROW_KEY } from '@snipenotch/contracts'
import { LEASE_DURATION_MS } from '@snipenotch/decisions'
import { TableService, type ListOptions, type Transaction } from '@snipenotch/store'
import { expect } from 'chai'
import fc from 'fast-check'
import { createRolloutDriver } from '../../src/rollouts/createRolloutDriver.js'
import { createFakeControlPlane, createTraffic, startRolloutPlatform, type RolloutPlatform } from './rolloutFixture.js'

/** Delays the transaction of a publish until `resume` is called, like a paused process. */
class PausableTable extends TableService {
  paused = false
  isHolding = false
  /** Resolves when a publish is delayed. */
  readonly held: Promise<void>
  #notify: () => void = () => undefined
  readonly #waiting: Array<() => void> = []

  constructor (private readonly inner: TableService) {
    super()
    this.held = new Promise((resolve) => { this.#notify = resolve })
  }

  override read (key: string) { return this.inner.read(key) }

  override list (prefix: string, options?: ListOptions) { return this.inner.list(prefix, options) }

  override async transact (transaction: Transaction) {
    const isPublish = transaction.writes.some(({ key }) => key === CURRENT_ROW_KEY)
    if (this.paused && isPublish) {
      this.isHolding = true
      this.#notify()
      await new Promise<void>((resolve) => this.#waiting.push(resolve))
    }
    return await this.inner.transact(transaction)
  }

  resume (): void {
    this.paused = false
    for (const resolve of this.#waiting.splice(0)) resolve()
  }
}

function createController (mesh: RolloutPlatform, host: string) {
  const context = mesh.createContext(host)
  const table = new PausableTable(context.table)
  const control = createFakeControlPlane()
  const driver = createRolloutDriver({ ...context, table }, control)
  return { host, table, control, context, driver, round: Promise.resolve() }
}

const SEED = 20261204

// Weighted towards rounds, because a schedule that consists of pauses makes no step.
const action = fc.oneof(
  { arbitrary: fc.constantFrom('first', 'second', 'both'), weight: 20 },
  { arbitrary: fc.constantFrom('pause first', 'pause second', 'outage', 'lease time'), weight: 1 },
  { arbitrary: fc.constant('resume' as const), weight: 3 }
)

describe('concurrent rollout controllers', () => {
  it(`never repeat or skip a step or apply a fenced write (seed ${SEED}: pauses, lost responses, outages)`, async () => {
    let most = 0
    const schedule = fc.array(action, { minLength: 30, maxLength: 60 })
    const lost = fc.infiniteStream(fc.double({ min: 0, max: 0.99, noNaN: true }))
    await fc.assert(fc.asyncProperty(schedule, lost, async (actions, draws) => {
      const mesh = await startRolloutPlatform(() => draws.next().value as number)
      try {
        const [first, second] = [createController(mesh, 'krakow-1'), createController(mesh, 'krakow-2')]
        mesh.platform.faults.loseAnswers = 0.1
        let accepted = await mesh.readAccepted()
        const run = async (racers: Array<typeof first>): Promise<void> => {
          mesh.clock.advance(1000)
          for (const racer of racers) {
            racer.control.sendEvidence({ dataCentre: 'krakow', evidence: createTraffic(accepted) })
            if (!racer.table.paused) racer.round = racer.driver.runRound()
          }
          await Promise.all(racers.filter(({ table }) => !table.paused).map(({ round }) => round))
          accepted = await mesh.readAccepted()
        }
        const pause = (racer: typeof first): void => {
          mesh.clock.advance(1000)
          if (racer.table.paused) return
          racer.table.paused = true
          racer.control.sendEvidence({ dataCentre: 'krakow', evidence: createTraffic(accepted) })
          racer.round = racer.driver.runRound()
        }
        for (const next of actions) {
          switch (next) {
            case 'first': await run([first]); break
            case 'second': await run([second]); break
            case 'both': await run([first, second]); break
            case 'pause first': pause(first); break
            case 'pause second': pause(second); break
            case 'resume': for (const racer of [first, second]) { racer.table.resume(); await racer.round } break
            case 'outage':
              mesh.platform.faults.down = true
              await Promise.all([first, second].filter(({ table }) => !table.paused)
                .map(({ driver }) => driver.runRound()))
              mesh.platform.faults.down = false
              break
            case 'lease time': mesh.clock.advance(LEASE_DURATION_MS); break
          }
        }
        for (const racer of [first, second]) { racer.table.resume(); await racer.round }
        const history = (await mesh.repository.listHistory(100)).unwrap().reverse()
        const steps = history.map(({ operationId }) => operationId).filter((id) => id.startsWith('rollout/'))
        const rollout = (await mesh.readAccepted()).services.clocks!.rollout!
        expect(steps).to.deep.equal(steps.map((_, index) => `rollout/${rollout.id}/${index + 1}`))
        expect(rollout.step).to.equal(steps.length)
        most = Math.max(most, steps.length)
      } finally {
        mesh.stop()
      }
    }), { numRuns: 30, seed: SEED })
    expect(most, 'steps of the longest run').to.be.at.least(2)
  }).timeout(60_000)

  it('reject the late write of a paused lease holder (guards against a step decided before a takeover)', async () => {
    const mesh = await startRolloutPlatform()
    try {
      const [first, second] = [createController(mesh, 'krakow-1'), createController(mesh, 'krakow-2')]
      const accepted = await mesh.readAccepted()
      first.table.paused = true
      for (let round = 0; round < 8; round++) {
        mesh.clock.advance(1000)
        first.control.sendEvidence({ dataCentre: 'krakow', evidence: createTraffic(accepted) })
        first.round = first.driver.runRound()
        await Promise.race([first.round, first.table.held])
        if (first.table.isHolding) break
      }
      await second.driver.runRound()
      mesh.clock.advance(LEASE_DURATION_MS)
      await second.driver.runRound()
      expect(second.context.events).to.include('leaseAcquired')
      first.table.resume()
      await first.round
      expect((await mesh.readAccepted()).version).to.equal(1)
      expect(first.context.events).to.include('rolloutStepFailed')
    } finally {
      mesh.stop()
    }
  })
})
