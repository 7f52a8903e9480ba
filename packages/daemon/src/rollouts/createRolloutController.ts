import { csp } from '../csp.js'
import type { ControlPlane } from '../node/ControlPlane.js'
import type { NodeContext } from '../node/NodeContext.js'
import { createRolloutDriver } from './createRolloutDriver.js'

/** Delay between two rounds of the controller, in milliseconds. */
const ROUND_INTERVAL_MS = 1000

/** Random part of the delay, so that relays that start together do not read the lease row at the same time. */
const ROUND_JITTER = 0.2

/** Runs rollouts, which shift traffic between versions, while its node is a relay and holds the lease. */
export interface RolloutController {
  readonly start: () => void
  /** Stops the loop and releases the lease. */
  readonly stop: () => Promise<void>
}

/** Creates the rollout controller of a node; it is idle until `start` is called. */
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
            yield csp.alts([stopping, csp.timeout(ROUND_INTERVAL_MS * (1 + ROUND_JITTER * context.random()))])
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
