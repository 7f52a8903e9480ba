import { type SuspectReport, suspectReportSchema } from '@snipenotch/contracts'
import { Agent } from 'node:http'
import type { NodeContext } from '../NodeContext.js'
import type { MeshView } from '../rows/createMeshView.js'
import { PEER_PATHS } from './createPeerServer.js'
import { requestPeer } from './requestPeer.js'

/**
 * Exchanges reports about requests that crash backend servers with the other hosts of the service, since only these
 * send such a request to a backend server. Needs no store.
 */
export interface SuspectExchange {
  readonly start: () => void
  /** Sends this node's report to all other hosts of the service. */
  readonly broadcast: () => void
  /** Applies an encoded report and returns this node's own; undefined if it is malformed. */
  readonly receive: (body: Buffer, peer: string) => Buffer | undefined
  readonly close: () => void
}

/** Options of `createSuspectExchange`. */
export interface SuspectExchangeOptions {
  readonly context: NodeContext
  readonly view: Pick<MeshView, 'listHosts'>
  readonly composeReport: () => SuspectReport
  readonly applyReport: (report: SuspectReport) => void
  readonly hasSuspects: () => boolean
}

/**
 * Interval between exchanges with a random host while anything is known, in milliseconds. They reach the hosts that
 * missed a broadcast.
 */
const EXCHANGE_INTERVAL_MS = 2000
/** Interval between checks whether a node that has just started knows hosts to ask, in milliseconds. */
const START_INTERVAL_MS = 100
/** Hosts that a node asks after its start. */
const HOSTS_ASKED_AT_START = 2
/** Time limit of an exchange, in milliseconds: many round trips, and longer than a stall of a busy process. */
const TIMEOUT_MS = 500
/** Connections to each host. */
const MAX_CONNECTIONS = 1

/** Creates an exchange that has not started. */
export function createSuspectExchange (options: SuspectExchangeOptions): SuspectExchange {
  const { context: { settings, log, ticker, random }, view, composeReport, applyReport, hasSuspects } = options
  const agent = new Agent({ keepAlive: true, maxSockets: MAX_CONNECTIONS })
  let hasAsked = false
  let isClosed = false
  const stops: Array<() => void> = []

  const encodeReport = (): Buffer => Buffer.from(JSON.stringify(composeReport()))

  /** Applies an encoded report; false if it is malformed. */
  function applyEncoded (body: Buffer, peer: string): boolean {
    try {
      applyReport(suspectReportSchema.parse(JSON.parse(body.toString('utf8'))))
      return true
    } catch (error) {
      log('suspectReportMalformed', { peer, bytes: body.length, detail: String(error) })
      return false
    }
  }

  async function sendReport (address: string, report: Buffer): Promise<void> {
    const response = await requestPeer(agent, address, PEER_PATHS.suspects, TIMEOUT_MS, report)
    // A host that does not respond is reached by a later exchange.
    if (response !== undefined && !isClosed) applyEncoded(response.body, address)
  }

  const listAddresses = (): string[] => view.listHosts()
    .filter(({ host, service }) => host !== settings.host && service === settings.service)
    .map(({ peerAddress }) => peerAddress)

  function sendTo (addresses: readonly string[]): void {
    const report = encodeReport()
    for (const address of addresses) {
      sendReport(address, report).catch((error: unknown) => { log('internalError', { error: String(error) }) })
    }
  }

  /** Chooses `count` of the other hosts of the service at random. */
  function drawAddresses (count: number): string[] {
    const addresses = listAddresses()
    const first = Math.floor(random() * addresses.length)
    return [...addresses.slice(first), ...addresses.slice(0, first)].slice(0, count)
  }

  /** Learns what other nodes knew before this process started. */
  function requestOnce (): void {
    if (hasAsked) return
    const addresses = drawAddresses(HOSTS_ASKED_AT_START)
    if (addresses.length === 0) return
    hasAsked = true
    sendTo(addresses)
  }

  return {
    start: () => {
      stops.push(
        ticker.add(START_INTERVAL_MS, requestOnce),
        ticker.add(EXCHANGE_INTERVAL_MS, () => { if (hasSuspects()) sendTo(drawAddresses(1)) })
      )
    },
    broadcast: () => { if (!isClosed) sendTo(listAddresses()) },
    receive: (body, peer) => applyEncoded(body, peer) ? encodeReport() : undefined,
    close: () => {
      isClosed = true
      for (const stop of stops) stop()
      agent.destroy()
    }
  }
}
