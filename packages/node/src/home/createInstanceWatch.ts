import type { InstanceState } from '@snipenotch/decisions'
import type { NodeContext } from '../NodeContext.js'
import { probeInstance } from './probeInstance.js'

/** Asks the backend server whether it is cold, or whether it serves at all, while nothing else tells. */
export interface InstanceWatch {
  /** Asks at once if there is a doubt, unless it has just been asked. */
  readonly update: () => void
  readonly close: () => void
}

export interface InstanceWatchOptions {
  readonly context: NodeContext
  readonly instance: InstanceState
  /** Path of health probes; undefined while the configuration is not known. */
  readonly getHealthPath: () => string | undefined
  /** Requests sent to the backend server in the last second. */
  readonly countSends: () => number
  /** Called after an answer. */
  readonly onChange: () => void
}

/** Time between two probes at least, in milliseconds. */
const PROBE_INTERVAL_MS = 50
/** The same while it is not known to serve: a part of a report interval, as a report settles it too. */
const CONFIRM_INTERVAL_MS = 500

/** Creates a watch that looks for doubts at intervals. */
export function createInstanceWatch (options: InstanceWatchOptions): InstanceWatch {
  const { context: { settings, clock, log, ticker }, instance, getHealthPath, countSends, onChange } = options
  let isAsking = false
  let isClosed = false
  let nextAt = -Infinity

  async function probe (path: string): Promise<void> {
    const sentAt = clock.now()
    const probed = await probeInstance(settings.backend, path)
    const now = clock.now()
    if (isClosed || probed === undefined) return
    const wasCold = instance.getColdUntil() > now
    const wasConfirmed = instance.isConfirmed()
    instance.applyProbe(probed, sentAt, now)
    if (!wasConfirmed) log('instanceProbed', { ...probed, isConfirmed: instance.isConfirmed() })
    if ((instance.getColdUntil() > now) !== wasCold) {
      log('coldChanged', { source: 'probe', coldMs: probed.coldMs, sends: countSends(), instance: probed.instance })
    }
    onChange()
  }

  function update (): void {
    const now = clock.now()
    const path = getHealthPath()
    if (isAsking || isClosed || path === undefined || now < nextAt) return
    if (instance.getRun()?.state !== 'serving' || instance.isDown()) return
    if (instance.isConfirmed() && !instance.isColdUnknown(now)) return
    isAsking = true
    nextAt = now + (instance.isConfirmed() ? PROBE_INTERVAL_MS : CONFIRM_INTERVAL_MS)
    probe(path)
      .catch((error: unknown) => { log('internalError', { error: String(error) }) })
      .finally(() => { isAsking = false })
  }

  const stopLooks = ticker.add(PROBE_INTERVAL_MS, update)
  return {
    update,
    close: () => {
      isClosed = true
      stopLooks()
    }
  }
}
