import { createRetryBudget, type RetryBudget } from '@snipenotch/decisions'
import type { NodeContext } from '../NodeContext.js'

/** Retry budgets, one per service, for requests that are sent to another backend server. */
export interface RetryBudgets {
  /** Records a first attempt, which adds to the budget of its service. */
  readonly recordFirstAttempt: (service: string) => void
  /** Takes one retry; false if the budget is exhausted. */
  readonly take: (service: string) => boolean
}

/**
 * Share of the configured bound that all nodes together may use. Calls made by a retried request count as retries too,
 * and calls between services are not part of the requests that the bound is a ratio of.
 */
const USED_BUDGET_SHARE = 0.4
/** Minimum number of nodes among which the fixed part of the bound is divided. */
const MIN_ASSUMED_NODES = 4

/**
 * Creates budgets that together stay within the bound in the settings. `countNodes` returns undefined while the other
 * nodes are unknown; the fixed part is then not used at all, because its share for each node cannot be computed.
 */
export function createRetryBudgets (
  { settings, clock }: NodeContext, countNodes: () => number | undefined
): RetryBudgets {
  const budgets = new Map<string, RetryBudget>()
  function getMinRetries (): number {
    const nodes = countNodes()
    return nodes === undefined ? 0 : settings.retrySlack * USED_BUDGET_SHARE / Math.max(MIN_ASSUMED_NODES, nodes)
  }
  function getBudget (service: string): RetryBudget {
    let budget = budgets.get(service)
    if (budget === undefined) {
      budget = createRetryBudget({ ratio: settings.retryRatio * USED_BUDGET_SHARE, getMinRetries })
      budgets.set(service, budget)
    }
    return budget
  }
  return {
    recordFirstAttempt: (service) => { getBudget(service).recordFirstAttempt(clock.now()) },
    take: (service) => getBudget(service).take(clock.now())
  }
}
