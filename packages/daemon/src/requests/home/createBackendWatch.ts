import { connect } from 'node:net'
import { parseSocketAddress } from '@snipenotch/contracts'
import type { Channel } from 'js-csp'
import { csp } from '../../csp.js'

/** Longest wait for a probe's connection. */
const PROBE_TIMEOUT_MS = 1000

/** Waits between probes of a backend server that is down, before jitter: doubled from the first to the last. */
const FIRST_PROBE_WAIT_MS = 50
const LAST_PROBE_WAIT_MS = 1000

export interface WatchListener {
  readonly onDown: () => void
  readonly onUp: () => void
}

/** Knows whether the backend server accepts connections; it is probed at the start and after each failure. */
export interface BackendWatch {
  readonly isUp: () => boolean
  /** Probes the backend server and repeats that until it accepts a connection. */
  readonly probe: () => void
  readonly stop: () => void
}

/** Tries to connect and puts on `results` whether that was accepted. */
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

/** Creates a watch that takes the backend server to be up until a probe fails. `draw` spreads the probes. */
export function createBackendWatch (address: string, draw: () => number, listener: WatchListener): BackendWatch {
  let isUp = true
  let isProbing = false
  let isStopped = false

  const isOver = (): boolean => isStopped

  function handleProbe (isAccepted: boolean): void {
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
      let wait = FIRST_PROBE_WAIT_MS
      let isAccepted = false
      while (!isAccepted && !isOver()) {
        probeOnce(address, results)
        isAccepted = (yield csp.take(results)) === true
        if (isOver()) break
        handleProbe(isAccepted)
        if (!isAccepted) yield csp.take(csp.timeout(wait * (0.5 + draw())))
        wait = Math.min(LAST_PROBE_WAIT_MS, wait * 2)
      }
      isProbing = false
    })
  }

  return { isUp: () => isUp, probe, stop: () => { isStopped = true } }
}
