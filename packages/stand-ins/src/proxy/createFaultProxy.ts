import { connect, createServer, type Server, type Socket } from 'node:net'
import { parseSocketAddress } from '@snipenotch/contracts'
import {
  connectionRuleSchema, weightedRuleSchema,
  type ConnectionRule, type ConnectionRuleInput, type Direction, type WeightedRuleInput
} from './connectionRuleSchema.js'

/** Counts of what a proxy has done so far. */
export interface ProxyCounts {
  connections: number
  /** Connections reset by the rule `refuse`; those refused after `refuseAll` are not included. */
  refused: number
  blackHoled: number
  cut: number
  answersDropped: number
  /** Bytes discarded by `blackHole` and `lose`; those discarded by `cut` and `dropAnswers` are not included. */
  bytesLost: number
  /** Connections reset by `resetAll` or `stop`; those reset by rules are not included. */
  resets: number
  /** Bytes passed on for delivery to the server, counted before they are written; likewise `bytesToClient`. */
  bytesToServer: number
  bytesToClient: number
}

/** TCP proxy that injects faults into connections. */
export interface FaultProxy {
  /** Address that clients connect to; stays the same while the proxy exists. */
  readonly address: string
  readonly counts: ProxyCounts
  readonly countOpen: () => number
  /** Applies the rule to new connections. */
  readonly setRule: (rule: ConnectionRuleInput) => void
  /** Applies a rule to each new connection, picked by share; connections outside all shares pass unchanged. */
  readonly setRules: (rules: readonly WeightedRuleInput[]) => void
  /** Forwards new connections to another address, for example that of a restarted server. */
  readonly setTarget: (target: string) => void
  /** Holds all data in both directions, on existing and new connections, until `resume`. */
  readonly pause: () => void
  readonly resume: () => void
  /** Resets all existing connections. */
  readonly resetAll: () => void
  /** Makes existing connections carry nothing any more, without closing them; new ones work. */
  readonly silenceAll: () => void
  /**
   * Stops listening, so that the operating system refuses new connections; existing ones stay open. The rule `refuse`
   * accepts each connection and then resets it.
   */
  readonly refuseAll: () => void
  /** Listens again on the same address. */
  readonly acceptAll: () => Promise<void>
  readonly stop: () => void
}

interface ProxiedConnection {
  readonly client: Socket
  readonly server: Socket | undefined
}

/** Picks the rule of one connection by share; `random` returns numbers in 0..1. */
export function pickRule (rules: readonly WeightedRuleInput[], random: () => number): ConnectionRule {
  let remaining = random()
  for (const { share, rule } of rules) {
    if (remaining < share) return connectionRuleSchema.parse(rule)
    remaining -= share
  }
  return connectionRuleSchema.parse({})
}

/**
 * Resets a connection. One whose end has been sent is closed instead: Node.js cannot reset it and would never release
 * its descriptor.
 */
function resetSocket (socket: Socket): void {
  if (socket.writableEnded) socket.destroy()
  else socket.resetAndDestroy()
}

function listenOn (server: Server, host: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.off('error', reject)
      resolve()
    })
  })
}

/** Creates a TCP proxy to `target` on a loopback port (`port` 0 picks a free one); `random` returns numbers in 0..1. */
export async function createFaultProxy (target: string, random: () => number, port = 0): Promise<FaultProxy> {
  const counts: ProxyCounts = {
    connections: 0,
    refused: 0,
    blackHoled: 0,
    cut: 0,
    answersDropped: 0,
    bytesLost: 0,
    resets: 0,
    bytesToServer: 0,
    bytesToClient: 0
  }
  const connections = new Set<ProxiedConnection>()
  const silentConnections = new WeakSet<ProxiedConnection>()
  const resumeCallbacks: Array<() => void> = []
  let destination = parseSocketAddress(target)
  let rules: readonly WeightedRuleInput[] = []
  let isPaused = false

  function resetConnection ({ client, server }: ProxiedConnection): void {
    resetSocket(client)
    if (server !== undefined) resetSocket(server)
  }

  /** Delivers a chunk, or the part of it before the cut; returns true if the connection was cut. */
  async function sendChunk (
    connection: ProxiedConnection, rule: ConnectionRule, direction: Direction, chunk: Buffer, bytesBefore: number
  ): Promise<boolean> {
    const to = direction === 'to-server' ? connection.server : connection.client
    const limit = rule.cut?.direction === direction ? rule.cut.bytes - bytesBefore : Infinity
    const part = chunk.length > limit ? chunk.subarray(0, limit) : chunk
    if (direction === 'to-server') counts.bytesToServer += part.length
    else counts.bytesToClient += part.length
    if (chunk.length < limit) {
      to?.write(part)
      return false
    }
    counts.cut += 1
    // A reset discards data that the receiver has not read yet, so its side is ended normally after the last part.
    const from = direction === 'to-server' ? connection.client : connection.server
    // Awaited, because leaving the loop over `from` destroys that socket without a reset.
    await new Promise<void>((resolve) => {
      to?.once('close', () => resolve())
      to?.end(part, () => resolve())
    })
    if (from !== undefined) resetSocket(from)
    return true
  }

  async function forwardBytes (
    connection: ProxiedConnection, rule: ConnectionRule, direction: Direction, from: Socket
  ): Promise<void> {
    let forwardedBytes = 0
    for await (const data of from) {
      const chunk = data as Buffer
      if (isPaused) await new Promise<void>((resolve) => resumeCallbacks.push(resolve))
      if (rule.delayMs > 0) await new Promise((resolve) => setTimeout(resolve, rule.delayMs))
      if (rule.lose === direction || silentConnections.has(connection)) { counts.bytesLost += chunk.length; continue }
      if (rule.dropAnswers && direction === 'to-client') {
        counts.answersDropped += 1
        resetConnection(connection)
        return
      }
      if (await sendChunk(connection, rule, direction, chunk, forwardedBytes)) return
      forwardedBytes += chunk.length
      const to = direction === 'to-server' ? connection.server : connection.client
      if (to?.writableNeedDrain === true) await awaitDrain(to)
    }
    const to = direction === 'to-server' ? connection.server : connection.client
    if (rule.lose !== direction && !silentConnections.has(connection)) to?.end()
  }

  function awaitDrain (socket: Socket): Promise<void> {
    return new Promise((resolve) => {
      socket.once('drain', resolve)
      socket.once('close', () => resolve())
    })
  }

  function attachConnection (connection: ProxiedConnection): void {
    connections.add(connection)
    connection.client.on('close', () => {
      connections.delete(connection)
      connection.server?.destroy()
    })
    connection.server?.on('close', () => {
      if (!silentConnections.has(connection)) connection.client.destroy()
    })
    for (const socket of [connection.client, connection.server]) socket?.on('error', () => undefined)
  }

  function acceptConnection (client: Socket): void {
    counts.connections += 1
    client.on('error', () => undefined)
    const rule = pickRule(rules, random)
    if (rule.refuse) {
      counts.refused += 1
      resetSocket(client)
      return
    }
    if (rule.blackHole) {
      counts.blackHoled += 1
      attachConnection({ client, server: undefined })
      client.on('data', (chunk: Buffer) => { counts.bytesLost += chunk.length })
      return
    }
    const server = connect({ ...destination, allowHalfOpen: true })
    const connection = { client, server }
    attachConnection(connection)
    // If the server cannot be reached, the client sees a reset connection.
    server.on('error', () => { if (!silentConnections.has(connection)) resetSocket(client) })
    forwardBytes(connection, rule, 'to-server', client).catch(() => undefined)
    forwardBytes(connection, rule, 'to-client', server).catch(() => undefined)
  }

  let listener = createServer({ allowHalfOpen: true }, acceptConnection)
  await listenOn(listener, '127.0.0.1', port)
  const bound = listener.address()
  const ownPort = typeof bound === 'object' && bound !== null ? bound.port : port

  function resetAll (): void {
    for (const connection of connections) {
      counts.resets += 1
      resetConnection(connection)
    }
  }

  function releaseHeldData (): void {
    isPaused = false
    for (const resume of resumeCallbacks.splice(0)) resume()
  }

  /** Does not await the end of `close`, because it waits for existing connections, which stay open. */
  function closeListener (): void {
    if (listener.listening) listener.close()
  }

  return {
    address: `127.0.0.1:${ownPort}`,
    counts,
    countOpen: () => connections.size,
    setRule: (rule) => { rules = [{ share: 1, rule: connectionRuleSchema.parse(rule) }] },
    setRules: (weighted) => { rules = weighted.map((entry) => weightedRuleSchema.parse(entry)) },
    setTarget: (address) => { destination = parseSocketAddress(address) },
    pause: () => { isPaused = true },
    resume: releaseHeldData,
    resetAll,
    silenceAll: () => { for (const connection of connections) silentConnections.add(connection) },
    refuseAll: closeListener,
    acceptAll: async () => {
      if (listener.listening) return
      listener = createServer({ allowHalfOpen: true }, acceptConnection)
      await listenOn(listener, '127.0.0.1', ownPort)
    },
    stop: () => {
      closeListener()
      releaseHeldData()
      resetAll()
    }
  }
}
