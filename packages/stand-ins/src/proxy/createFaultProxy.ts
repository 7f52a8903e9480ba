import { connect, createServer, type Server, type Socket } from 'node:net'
import { parseSocketAddress } from '@snipenotch/contracts'
import {
  connectionRuleSchema, weightedRuleSchema,
  type ConnectionRule, type ConnectionRuleInput, type Direction, type WeightedRuleInput
} from './connectionRuleSchema.js'

/** What a proxy has done so far; bytes count what was delivered. */
export interface ProxyCounts {
  connections: number
  refused: number
  blackHoled: number
  cut: number
  answersDropped: number
  bytesLost: number
  resets: number
  bytesToServer: number
  bytesToClient: number
}

export interface FaultProxy {
  /** Address that clients connect to; fixed once the proxy has been opened. */
  readonly address: string
  readonly counts: ProxyCounts
  readonly countOpen: () => number
  /** Gives new connections this rule. */
  readonly setRule: (rule: ConnectionRuleInput) => void
  /** Gives new connections a rule drawn by share; connections outside all shares pass unchanged. */
  readonly setRules: (rules: readonly WeightedRuleInput[]) => void
  /** Leads new connections to another address, for example of a restarted server. */
  readonly setTarget: (target: string) => void
  /** Holds every byte in both directions, on present and new connections, until `thaw`. */
  readonly freeze: () => void
  readonly thaw: () => void
  /** Resets every present connection. */
  readonly resetAll: () => void
  /** Stops listening, so that new connections are refused; present ones stay. */
  readonly refuseAll: () => void
  /** Listens again on the same address. */
  readonly acceptAll: () => Promise<void>
  readonly stop: () => void
}

interface Link {
  readonly client: Socket
  readonly server: Socket | undefined
}

/** Draws the rule of one connection. */
export function drawRule (rules: readonly WeightedRuleInput[], draw: () => number): ConnectionRule {
  let rest = draw()
  for (const { share, rule } of rules) {
    if (rest < share) return connectionRuleSchema.parse(rule)
    rest -= share
  }
  return connectionRuleSchema.parse({})
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

/** Opens a TCP proxy on a loopback port (`port` 0 takes a free one); `draw` returns numbers in 0..1. */
export async function createFaultProxy (target: string, draw: () => number, port = 0): Promise<FaultProxy> {
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
  const links = new Set<Link>()
  const thawed: Array<() => void> = []
  let destination = parseSocketAddress(target)
  let rules: readonly WeightedRuleInput[] = []
  let frozen = false

  function resetLink ({ client, server }: Link): void {
    client.resetAndDestroy()
    server?.resetAndDestroy()
  }

  /** Delivers a chunk, or the part of it before a cut; returns true if the connection was cut. */
  async function sendChunk (
    link: Link, rule: ConnectionRule, direction: Direction, chunk: Buffer, before: number
  ): Promise<boolean> {
    const to = direction === 'to-server' ? link.server : link.client
    const limit = rule.cut?.direction === direction ? rule.cut.bytes - before : Infinity
    const part = chunk.length > limit ? chunk.subarray(0, limit) : chunk
    if (direction === 'to-server') counts.bytesToServer += part.length
    else counts.bytesToClient += part.length
    if (chunk.length < limit) {
      to?.write(part)
      return false
    }
    counts.cut += 1
    // A reset discards what the receiver has not yet read, so the receiver gets an orderly end after the last part.
    const from = direction === 'to-server' ? link.client : link.server
    // Awaited, because leaving the loop over `from` destroys it without a reset.
    await new Promise<void>((resolve) => {
      to?.once('close', () => resolve())
      to?.end(part, () => resolve())
    })
    from?.resetAndDestroy()
    return true
  }

  async function forwardBytes (link: Link, rule: ConnectionRule, direction: Direction, from: Socket): Promise<void> {
    let carried = 0
    for await (const data of from) {
      const chunk = data as Buffer
      if (frozen) await new Promise<void>((resolve) => thawed.push(resolve))
      if (rule.delayMs > 0) await new Promise((resolve) => setTimeout(resolve, rule.delayMs))
      if (rule.lose === direction) { counts.bytesLost += chunk.length; continue }
      if (rule.dropAnswers && direction === 'to-client') {
        counts.answersDropped += 1
        resetLink(link)
        return
      }
      if (await sendChunk(link, rule, direction, chunk, carried)) return
      carried += chunk.length
      const to = direction === 'to-server' ? link.server : link.client
      if (to?.writableNeedDrain === true) await awaitDrain(to)
    }
    const to = direction === 'to-server' ? link.server : link.client
    if (rule.lose !== direction) to?.end()
  }

  function awaitDrain (socket: Socket): Promise<void> {
    return new Promise((resolve) => {
      socket.once('drain', resolve)
      socket.once('close', () => resolve())
    })
  }

  function attachLink (link: Link): void {
    links.add(link)
    const end = (): void => {
      links.delete(link)
      link.client.destroy()
      link.server?.destroy()
    }
    for (const socket of [link.client, link.server]) {
      socket?.on('error', () => undefined)
      socket?.on('close', end)
    }
  }

  function acceptConnection (client: Socket): void {
    counts.connections += 1
    client.on('error', () => undefined)
    const rule = drawRule(rules, draw)
    if (rule.refuse) {
      counts.refused += 1
      client.resetAndDestroy()
      return
    }
    if (rule.blackHole) {
      counts.blackHoled += 1
      attachLink({ client, server: undefined })
      client.on('data', (chunk: Buffer) => { counts.bytesLost += chunk.length })
      return
    }
    const server = connect({ ...destination, allowHalfOpen: true })
    const link = { client, server }
    attachLink(link)
    // A server that cannot be reached looks to the client like a connection that is reset.
    server.on('error', () => client.resetAndDestroy())
    forwardBytes(link, rule, 'to-server', client).catch(() => undefined)
    forwardBytes(link, rule, 'to-client', server).catch(() => undefined)
  }

  let listener = createServer({ allowHalfOpen: true }, acceptConnection)
  await listenOn(listener, '127.0.0.1', port)
  const bound = listener.address()
  const ownPort = typeof bound === 'object' && bound !== null ? bound.port : port

  function resetAll (): void {
    for (const link of links) {
      counts.resets += 1
      resetLink(link)
    }
  }

  function releaseAll (): void {
    frozen = false
    for (const resume of thawed.splice(0)) resume()
  }

  /** Not awaited to its end: `close` waits for present connections, which are to stay. */
  function closeListener (): void {
    if (listener.listening) listener.close()
  }

  return {
    address: `127.0.0.1:${ownPort}`,
    counts,
    countOpen: () => links.size,
    setRule: (rule) => { rules = [{ share: 1, rule: connectionRuleSchema.parse(rule) }] },
    setRules: (weighted) => { rules = weighted.map((entry) => weightedRuleSchema.parse(entry)) },
    setTarget: (address) => { destination = parseSocketAddress(address) },
    freeze: () => { frozen = true },
    thaw: releaseAll,
    resetAll,
    refuseAll: closeListener,
    acceptAll: async () => {
      if (listener.listening) return
      listener = createServer({ allowHalfOpen: true }, acceptConnection)
      await listenOn(listener, '127.0.0.1', ownPort)
    },
    stop: () => {
      closeListener()
      releaseAll()
      resetAll()
    }
  }
}
