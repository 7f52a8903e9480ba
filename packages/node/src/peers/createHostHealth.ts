import { Agent } from 'node:http'
import type { NodeContext } from '../NodeContext.js'
import type { MeshView } from '../rows/createMeshView.js'
import { PEER_PATHS } from './createPeerServer.js'
import { requestPeer } from './requestPeer.js'

/** Tells which hosts do not answer this node. */
export interface HostHealth {
  /** Takes a host out until it answers a probe. */
  readonly markDown: (host: string, detail: string) => void
  readonly isDown: (host: string) => boolean
  readonly close: () => void
}

/** First and longest pause between two probes of a host, in milliseconds: a restarted process answers within 200. */
const FIRST_PROBE_MS = 100
const MAX_PROBE_MS = 1500
/** Time for the answer of a probe, in milliseconds: many times a round trip, and above a pause of a busy process. */
const PROBE_TIMEOUT_MS = 400

/** Creates the health of hosts that are all believed to answer. */
export function createHostHealth ({ clock, log }: NodeContext, view: Pick<MeshView, 'getHost'>): HostHealth {
  const downSince = new Map<string, number>()
  const agent = new Agent({ keepAlive: false })
  const closing = new AbortController()

  async function probe (host: string): Promise<void> {
    for (let pause = FIRST_PROBE_MS; !closing.signal.aborted; pause = Math.min(MAX_PROBE_MS, pause * 2)) {
      await new Promise((resolve) => { setTimeout(resolve, pause) })
      const record = view.getHost(host)
      if (record === undefined) break
      if (await requestPeer(agent, record.peerAddress, PEER_PATHS.ping, PROBE_TIMEOUT_MS) !== undefined) break
    }
    log('hostReturned', { peer: host, awayMs: Math.round(clock.now() - (downSince.get(host) ?? 0)) })
    downSince.delete(host)
  }

  return {
    markDown: (host, detail) => {
      if (downSince.has(host)) return
      downSince.set(host, clock.now())
      log('hostAvoided', { peer: host, detail })
      probe(host).catch((error: unknown) => { log('internalError', { error: String(error) }) })
    },
    isDown: (host) => downSince.has(host),
    close: () => {
      closing.abort()
      agent.destroy()
    }
  }
}
