import { randomUUID } from 'node:crypto'
import { drainOrderRequestSchema, validateWithSchema, type DrainOrder } from '@snipenotch/contracts'
import { Err, Ok, type Result } from 'ts-results-es'
import type { CommandContext, CommandOutput } from '../CommandContext.js'
import type { CommandError } from '../CommandError.js'

const POLL_INTERVAL_MS = 200

/** Options of the commands `drain` and `restore`. */
export interface OrderOptions {
  /** Milliseconds to wait until every contact has received the order; 0 returns without waiting. */
  readonly waitMs: number
}

function isOrderKnown (orders: readonly DrainOrder[], order: DrainOrder): boolean {
  const found = orders.find(({ subject }) => subject === order.subject)
  return found !== undefined && (found.number > order.number || found.id === order.id)
}

/** Waits until each contact that responds has received the order, or a newer one for the same subject. */
async function awaitOrderPropagation (
  context: CommandContext, order: DrainOrder, timeoutMs: number
): Promise<Result<{ elapsed: number, supersededBy: DrainOrder | undefined }, CommandError>> {
  const startedAt = context.clock.now()
  for (;;) {
    const statuses = await context.nodes.readStatuses()
    if (statuses.isErr()) return statuses
    const pendingNodes = statuses.value.filter((status) => !isOrderKnown(status.orders, order))
    const elapsed = context.clock.now() - startedAt
    if (pendingNodes.length === 0) {
      const supersededBy = statuses.value.flatMap((status) => status.orders)
        .find((other) => other.subject === order.subject && other.id !== order.id)
      return Ok({ elapsed, supersededBy })
    }
    if (elapsed > timeoutMs) {
      return Err({ kind: 'not-in-force', detail: `order ${order.number} has not reached ${pendingNodes.map(({ host }) => host).join(', ')}` })
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
  }
}

/** Drains or restores a data centre or a host; works while the store is unavailable. */
export async function submitOrder (
  context: CommandContext, action: 'drain' | 'restore', subject: string, options: OrderOptions
): Promise<Result<CommandOutput, CommandError>> {
  const request = validateWithSchema(drainOrderRequestSchema, { subject, action, operator: context.settings.operator, id: randomUUID() }, 'command line')
  if (request.isErr()) return Err({ kind: 'invalid', problems: request.error })
  const order = await context.nodes.submitOrder(request.value)
  if (order.isErr()) return order
  const accepted = `${action} ${subject}: order ${order.value.number} accepted`
  if (options.waitMs === 0) return Ok({ data: { order: order.value }, text: accepted })
  const propagation = await awaitOrderPropagation(context, order.value, options.waitMs)
  if (propagation.isErr()) return propagation
  const { elapsed, supersededBy } = propagation.value
  if (supersededBy !== undefined) {
    return Err({ kind: 'refused', detail: `order ${order.value.number} was superseded by ${supersededBy.operator}: ${supersededBy.action} ${subject}` })
  }
  return Ok({
    data: { order: order.value, knownMs: Math.round(elapsed) },
    text: `${accepted}; received by every contact after ${Math.round(elapsed)} ms`
  })
}
