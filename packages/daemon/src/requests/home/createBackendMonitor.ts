import { connect } from 'node:net'
import { parseSocketAddress } from '@snipenotch/contracts'
import type { Channel } from 'js-csp'
import { csp } from '../../csp.js'

/** Connect timeout of a probe. */
const PROBE_TIMEOUT_MS = 1000

/** Bounds of the exponential delay between probes of a backend server that is down, before jitter. */
const MIN_PROBE_DELAY_MS = 50
const MAX_PROBE_DELAY_MS = 1000

/** Callbacks for changes of the backend server's state. */
export interface BackendMonitorListener {
  readonly onDown: () => void
  readonly onUp: () => void
}

/** Tracks whether the backend server accepts connections; it is probed at startup and after each failure. */
export interface BackendMonitor {
  readonly isUp: () => boolean
  /** Probes the backend server until it accepts a connection; does nothing while a probe is in progress. */
  readonly probe: () => void
  readonly stop: () => void
}

/** Opens one connection and puts on `results` whether it was accepted. */
function probeOnce (address: string, results: Channel<boolean>): void {
  const socket = connect({ ...parseSocketAddress(address), timeout: PROBE_TIMEOUT_MS })
  const endProbe = (isAccepted: boolean) => () => {
    socket.destroy()
    csp.putAsync(results, isAccepted)
  }
  socket.once('connect', endProbe(true))
  socket.once('timeout', endProbe(false))
  socket.once('error', endProbe(false))
}

/**
 * Creates a monitor that assumes that the backend server is up until a probe fails. `random` adds jitter to the
 * delays.
 */
export function createBackendMonitor (
  address: string, random: () => number, listener: BackendMonitorListener
): BackendMonitor {
  let isUp = true
  let isProbing = false
  let isStopped = false

  const hasStopped = (): boolean => isStopped

  function handleProbeResult (isAccepted: boolean): void {
    if (isAccepted === isUp) return
    isUp = isAccepted
    if (isAccepted) listener.onUp()
    else listener.onDown()
  }

  function probe (): void {
    if (isProbing || isStopped) return
    isProbing = true
    const results = csp.chan<boolean>(1)
    csp.go(function * () {
      let delay = MIN_PROBE_DELAY_MS
      let isAccepted = false
      while (!isAccepted && !hasStopped()) {
        probeOnce(address, results)
        isAccepted = (yield csp.take(results)) === true
        if (hasStopped()) break
        handleProbeResult(isAccepted)
        if (!isAccepted) yield csp.take(csp.timeout(delay * (0.5 + random())))
        delay = Math.min(MAX_PROBE_DELAY_MS, delay * 2)
      }
      isProbing = false
    })
  }

  return { isUp: () => isUp, probe, stop: () => { isStopped = true } }
}
