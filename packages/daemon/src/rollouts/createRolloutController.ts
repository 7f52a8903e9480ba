import { csp } from '../csp.js'
import type { ControlPlane } from '../node/ControlPlane.js'
import type { NodeContext } from '../node/NodeContext.js'
import { createRolloutDriver } from './createRolloutDriver.js'

/** Time between two rounds of the controller, in milliseconds. */
const ROUND_INTERVAL_MS = 1000

/** Spread of the interval, so that relays that start together do not read the lease row together. */
const ROUND_SPREAD = 0.2

/** Moves traffic between versions while its node is a relay and holds the lease. */
export interface RolloutController {
  readonly start: () => void
  /** Ends the loop and gives the lease up. */
  readonly stop: () => Promise<void>
}

/** Creates the rollout controller of a node; it does nothing until it is started. */
export function createRolloutController (context: NodeContext, control: ControlPlane): RolloutController {
  const driver = createRolloutDriver(context, control)
  const stopping = csp.chan<never>()
  let ended: Promise<void> = Promise.resolve()

  return {
    start: () => {
      ended = new Promise((resolve) => {
        csp.go(function * () {
          while (!stopping.closed) {
            const done = csp.chan<boolean>()
            driver.runRound().then(() => done.close(), () => done.close())
            yield csp.take(done)
            yield csp.alts([stopping, csp.timeout(ROUND_INTERVAL_MS * (1 + ROUND_SPREAD * context.random()))])
          }
          resolve()
        })
      })
    },
    stop: async () => {
      stopping.close()
      await ended
      await driver.release()
    }
  }
}
