import { randomUUID } from 'node:crypto'
import { drainOrderRequestSchema, validateWithSchema, type DrainOrder } from '@snipenotch/contracts'
import { Err, Ok, type Result } from 'ts-results-es'
import type { CommandContext, CommandOutput } from '../CommandContext.js'
import type { CommandError } from '../CommandError.js'

const POLL_INTERVAL_MS = 200

export interface OrderOptions {
  /** Milliseconds to wait until every contact knows the order; 0 for not waiting. */
  readonly waitMs: number
}

function isKnown (orders: readonly DrainOrder[], order: DrainOrder): boolean {
  const found = orders.find(({ subject }) => subject === order.subject)
  return found !== undefined && (found.number > order.number || found.id === order.id)
}

/** Waits until each contact that answers knows the order, or a newer one for the same subject. */
async function awaitSpread (
  context: CommandContext, order: DrainOrder, timeoutMs: number
): Promise<Result<{ elapsed: number, overruled: DrainOrder | undefined }, CommandError>> {
  const started = context.clock.now()
  for (;;) {
    const statuses = await context.nodes.readStatuses()
    if (statuses.isErr()) return statuses
    const missing = statuses.value.filter((status) => !isKnown(status.orders, order))
    const elapsed = context.clock.now() - started
    if (missing.length === 0) {
      const overruled = statuses.value.flatMap((status) => status.orders)
        .find((other) => other.subject === order.subject && other.id !== order.id)
      return Ok({ elapsed, overruled })
    }
    if (elapsed > timeoutMs) {
      return Err({ kind: 'not-in-force', detail: `order ${order.number} has not reached ${missing.map(({ host }) => host).join(', ')}` })
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
  }
}

/** Takes a data centre or a host out (`drain`) or back in (`restore`); works while the store is down. */
export async function submitOrder (
  context: CommandContext, action: 'drain' | 'restore', subject: string, options: OrderOptions
): Promise<Result<CommandOutput, CommandError>> {
  const request = validateWithSchema(drainOrderRequestSchema, { subject, action, operator: context.settings.operator, id: randomUUID() }, 'command line')
  if (request.isErr()) return Err({ kind: 'invalid', problems: request.error })
  const order = await context.nodes.submitOrder(request.value)
  if (order.isErr()) return order
  const taken = `${action} ${subject}: order ${order.value.number} taken`
  if (options.waitMs === 0) return Ok({ data: { order: order.value }, text: taken })
  const spread = await awaitSpread(context, order.value, options.waitMs)
  if (spread.isErr()) return spread
  const { elapsed, overruled } = spread.value
  if (overruled !== undefined) {
    return Err({ kind: 'refused', detail: `order ${order.value.number} was overruled by ${overruled.operator}: ${overruled.action} ${subject}` })
  }
  return Ok({
    data: { order: order.value, knownMs: Math.round(elapsed) },
    text: `${taken}; known to every contact after ${Math.round(elapsed)} ms`
  })
}
