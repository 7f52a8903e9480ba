import { type DutyHolder, type UsageAck, usageAckSchema, type UsagePush, usagePushSchema } from '@snipenotch/contracts'
import { createUsageTally } from '@snipenotch/decisions'
import { Agent } from 'node:http'
import type * as z from 'zod'
import type { NodeContext } from '../NodeContext.js'
import { PEER_PATHS } from '../peers/createPeerServer.js'
import { requestPeer } from '../peers/requestPeer.js'

type TeamCounts = Readonly<Record<string, number>>

/** The holder's response to pushed counts, and the time to the holder and back in milliseconds. */
export interface PushResponse { readonly ack: UsageAck, readonly transitMs: number }

/** Counts of this node's backend server, and their way to the holder of the duty. */
export interface CountExchange {
  readonly add: (window: number, team: string) => void
  /** Passes the own counts that changed to `record`, as this node is the holder. */
  readonly recordOwn: (record: (window: number, source: string, counts: TeamCounts) => void) => void
  /** Sends the counts that changed to the holder, or none; undefined if it does not respond as the holder. */
  readonly push: (holder: DutyHolder, address: string, closedUpTo: number) => Promise<PushResponse | undefined>
  readonly hasChanges: () => boolean
  /** Removes closed windows, and expires those up to `expiredUpTo`. */
  readonly prune: (closedUpTo: number, expiredUpTo: number) => void
  readonly close: () => void
}

/** Time limit of a push, in milliseconds: many round trips, and below the time until a holder is held to be gone. */
const TIMEOUT_MS = 500

function parseJson<Schema extends z.ZodType> (schema: Schema, body: Buffer): z.output<Schema> | undefined {
  try {
    return schema.safeParse(JSON.parse(body.toString('utf8'))).data
  } catch {
    // Malformed messages are handled by the calling code.
    return undefined
  }
}

/** Decodes pushed counts; undefined if they are malformed. */
export function decodePush (body: Buffer): UsagePush | undefined {
  return parseJson(usagePushSchema, body)
}

/** Formats the source of counts: a process of a host. */
export function formatSource (host: string, run: number): string {
  return `${host}/${run}`
}

/** Creates an exchange without counts. `run` distinguishes the processes of the host. */
export function createCountExchange ({ settings, clock, log }: NodeContext, run: number): CountExchange {
  const { host } = settings
  const source = formatSource(host, run)
  const tally = createUsageTally()
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  const changed = new Set<number>()
  /** Token of the holder that has the windows that are not in `changed`; `self` if this node is the holder. */
  let acknowledgedBy: number | 'self' | undefined

  const getCounts = (window: number): TeamCounts => tally.getSources(window)[source] ?? {}

  /** A new holder knows only what its predecessor stored, so it gets all windows. */
  function markAllChanged (): void {
    for (const window of tally.listWindows()) changed.add(window)
  }

  return {
    add: (window, team) => {
      tally.add(window, source, team)
      changed.add(window)
    },
    recordOwn: (record) => {
      if (acknowledgedBy !== 'self') markAllChanged()
      acknowledgedBy = 'self'
      for (const window of changed) record(window, source, getCounts(window))
      changed.clear()
    },
    push: async (holder, address, closedUpTo) => {
      if (holder.token !== acknowledgedBy) markAllChanged()
      const windows = [...changed]
      changed.clear()
      const counts = windows.map((window) => ({ window, counts: getCounts(window) }))
      const push: UsagePush = { host, run, closedUpTo, wall: clock.wall(), windows: counts }
      const sentAt = clock.now()
      const body = Buffer.from(JSON.stringify(push))
      const response = await requestPeer(agent, address, PEER_PATHS.usage, TIMEOUT_MS, body)
      const ack = response === undefined ? undefined : parseJson(usageAckSchema, response.body)
      if (ack?.isHolder !== true) {
        for (const window of windows) changed.add(window)
        if (response !== undefined && ack === undefined) {
          log('usageCountsMalformed', { peer: holder.holder, bytes: response.body.length })
        }
        return undefined
      }
      // The holder may have acquired the duty again since its row was read; it has lost no counts then.
      acknowledgedBy = holder.token
      if (ack.token !== holder.token) markAllChanged()
      return { ack, transitMs: clock.now() - sentAt }
    },
    hasChanges: () => changed.size > 0,
    prune: (closedUpTo, expiredUpTo) => {
      tally.prune(closedUpTo)
      tally.expire(expiredUpTo)
      for (const window of changed) if (window <= Math.max(closedUpTo, expiredUpTo)) changed.delete(window)
    },
    close: () => { agent.destroy() }
  }
}
