import { Agent } from 'node:http'
import type { NodeContext } from '../NodeContext.js'
import { startLoop } from '../operations/startLoop.js'
import type { MeshView } from '../rows/createMeshView.js'
import { PEER_PATHS } from './createPeerServer.js'
import { requestPeer } from './requestPeer.js'

/** Tracks which hosts do not respond to this node. */
export interface HostHealth {
  /**
   * Marks a host as down until it answers a probe; `onReturned` is called then with the time since, in milliseconds,
   * unless the host was down before.
   */
  readonly markDown: (host: string, detail: string, onReturned?: (awayMs: number) => void) => void
  readonly isDown: (host: string) => boolean
  readonly close: () => void
}

/** First and longest delay between probes of a host, in milliseconds: a restarted process answers within 200 ms. */
const FIRST_PROBE_DELAY_MS = 100
const MAX_PROBE_DELAY_MS = 1500
/** Probe timeout in milliseconds: many round trips, and longer than a stall of a busy process. */
const PROBE_TIMEOUT_MS = 400

/** Creates the tracker; all hosts are initially considered up. */
export function createHostHealth ({ clock, log }: NodeContext, view: Pick<MeshView, 'getHost'>): HostHealth {
  const downSince = new Map<string, number>()
  const agent = new Agent({ keepAlive: false })
  const closing = new AbortController()

  async function isBack (host: string): Promise<boolean> {
    const record = view.getHost(host)
    if (record === undefined) return true
    return await requestPeer(agent, record.peerAddress, PEER_PATHS.ping, PROBE_TIMEOUT_MS) !== undefined
  }

  function startProbes (host: string, onReturned: ((awayMs: number) => void) | undefined): void {
    let delayMs = FIRST_PROBE_DELAY_MS
    startLoop({
      log,
      isActive: () => !closing.signal.aborted && downSince.has(host),
      step: async () => {
        await new Promise((resolve) => { setTimeout(resolve, delayMs) })
        delayMs = Math.min(MAX_PROBE_DELAY_MS, delayMs * 2)
        if (!await isBack(host)) return
        const awayMs = Math.round(clock.now() - (downSince.get(host) ?? 0))
        log('hostReturned', { peer: host, awayMs })
        downSince.delete(host)
        onReturned?.(awayMs)
      }
    })
  }

  return {
    markDown: (host, detail, onReturned) => {
      if (downSince.has(host)) return
      downSince.set(host, clock.now())
      log('hostAvoided', { peer: host, detail })
      startProbes(host, onReturned)
    },
    isDown: (host) => downSince.has(host),
    close: () => {
      closing.abort()
      agent.destroy()
    }
  }
}
