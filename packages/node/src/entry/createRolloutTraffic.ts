import type { NodeContext } from '../NodeContext.js'
import type { MeshView } from '../rows/createMeshView.js'

/** Counts the requests that this node sends to the versions of services under rollout. */
export interface RolloutTraffic {
  /** Records that a request is sent to a host of `version`; `drawn` is the version that was drawn for it. */
  readonly record: (service: string, version: string, drawn: string | undefined) => void
  readonly stop: () => void
}

/** Interval between log lines of one rollout, in milliseconds. */
const LOG_INTERVAL_MS = 1000

/** Requests sent since the rollout's order became known here. */
interface SendCounts {
  readonly order: number
  total: number
  candidate: number
  /** Sent to the new version although another one was drawn. */
  undrawn: number
  loggedTotal: number
}

/** Creates counters without requests; their log line shows how much of the traffic a new version gets, and why. */
export function createRolloutTraffic (
  { ticker, log, counters }: Pick<NodeContext, 'ticker' | 'log' | 'counters'>, view: Pick<MeshView, 'getRelease'>
): RolloutTraffic {
  const countsByService = new Map<string, SendCounts>()

  function logTraffic (): void {
    for (const [service, counts] of countsByService) {
      const rollout = view.getRelease(service)?.rollout
      if (counts.total === counts.loggedTotal || rollout === null || rollout === undefined) continue
      counts.loggedTotal = counts.total
      const { order, total, candidate, undrawn } = counts
      log('rolloutTraffic', { service, order, version: rollout.to, state: rollout.state, share: rollout.share, total, candidate, undrawn })
    }
  }

  const stop = ticker.add(LOG_INTERVAL_MS, logTraffic)
  return {
    record: (service, version, drawn) => {
      const rollout = view.getRelease(service)?.rollout
      if (rollout?.state !== 'running') return
      let counts = countsByService.get(service)
      if (counts?.order !== rollout.order) {
        counts = { order: rollout.order, total: 0, candidate: 0, undrawn: 0, loggedTotal: 0 }
        countsByService.set(service, counts)
      }
      counts.total += 1
      if (version !== rollout.to) return
      counts.candidate += 1
      if (version !== drawn) counts.undrawn += 1
      counters.count('rollout_sends', version === drawn ? 'drawn' : 'undrawn')
    },
    stop
  }
}
