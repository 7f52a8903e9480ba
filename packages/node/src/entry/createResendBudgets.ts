import { createRetryBudget, type RetryBudget } from '@snipenotch/decisions'
import type { NodeContext } from '../NodeContext.js'

/** Budgets of requests that are sent to a second backend server, one for each service. */
export interface ResendBudgets {
  readonly recordFirst: (service: string) => void
  readonly take: (service: string) => boolean
}

/**
 * Part of the bound that all nodes together may use: calls made by a request that runs again count as repeats too, and
 * calls between services are not among the requests that the bound is a share of.
 */
const USED_SHARE = 0.4
/** Nodes that share the fixed part of the bound, at least. */
const MIN_NODES = 4

/**
 * Creates budgets that together stay below the bound in the settings. `countNodes` is undefined while the other nodes
 * are not known: each of them may then have the same share of the fixed part, so none is used.
 */
export function createResendBudgets (
  { settings, clock }: NodeContext, countNodes: () => number | undefined
): ResendBudgets {
  const budgets = new Map<string, RetryBudget>()
  function getFloor (): number {
    const nodes = countNodes()
    return nodes === undefined ? 0 : settings.retrySlack * USED_SHARE / Math.max(MIN_NODES, nodes)
  }
  function getBudget (service: string): RetryBudget {
    let budget = budgets.get(service)
    if (budget === undefined) {
      budget = createRetryBudget({ ratio: settings.retryRatio * USED_SHARE, getMinRetries: getFloor })
      budgets.set(service, budget)
    }
    return budget
  }
  return {
    recordFirst: (service) => { getBudget(service).recordFirstAttempt(clock.now()) },
    take: (service) => getBudget(service).take(clock.now())
  }
}
