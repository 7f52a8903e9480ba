import type { InstanceState } from '@snipenotch/decisions'
import type { NodeContext } from '../NodeContext.js'
import { probeInstance } from './probeInstance.js'

/** Probes the backend server while status reports do not tell whether it is cold or serving. */
export interface InstanceProber {
  /** Probes at once if the state is uncertain, unless a probe was sent just before. */
  readonly update: () => void
  readonly close: () => void
}

/** Options of `createInstanceProber`. */
export interface InstanceProberOptions {
  readonly context: NodeContext
  readonly instance: InstanceState
  /** Path of health probes; undefined while the configuration is not known. */
  readonly getHealthPath: () => string | undefined
  /** Requests sent to the backend server in the last second. */
  readonly countSends: () => number
  /** Called after each probe that was answered. */
  readonly onChange: () => void
  /** Called when the backend server refuses connections. */
  readonly onRefused: () => void
}

/** Minimum interval between probes, in milliseconds. */
const PROBE_INTERVAL_MS = 50
/**
 * Minimum interval between probes until the backend server is confirmed to be serving, in milliseconds. It is a
 * fraction of the report interval, because a second status report confirms it as well.
 */
const CONFIRM_INTERVAL_MS = 500

/** Creates a prober that checks periodically whether the state is uncertain. */
export function createInstanceProber (options: InstanceProberOptions): InstanceProber {
  const { context, instance, getHealthPath, countSends, onChange, onRefused } = options
  const { settings, clock, log, ticker } = context
  let isProbing = false
  let isClosed = false
  let nextAt = -Infinity

  async function probe (path: string): Promise<void> {
    const sentAt = clock.now()
    const run = instance.getRun()
    const report = await probeInstance(settings.backend, path)
    const now = clock.now()
    if (isClosed || report === 'unanswered') return
    if (report === 'refused') {
      // A later run may have reported meanwhile.
      const current = instance.getRun()
      if (current?.instance === run?.instance && current?.startedAt === run?.startedAt) onRefused()
      return
    }
    const wasCold = instance.getColdUntil() > now
    const wasConfirmed = instance.isConfirmed()
    instance.applyProbe(report, sentAt, now)
    if (!wasConfirmed) log('instanceProbed', { ...report, isConfirmed: instance.isConfirmed() })
    if ((instance.getColdUntil() > now) !== wasCold) {
      log('coldChanged', { source: 'probe', coldMs: report.coldMs, sends: countSends(), instance: report.instance })
    }
    onChange()
  }

  function update (): void {
    const now = clock.now()
    const path = getHealthPath()
    if (isProbing || isClosed || path === undefined || now < nextAt) return
    if (instance.getRun()?.state !== 'serving' || instance.isDown()) return
    if (instance.isConfirmed() && !instance.isColdUnknown(now)) return
    isProbing = true
    nextAt = now + (instance.isConfirmed() ? PROBE_INTERVAL_MS : CONFIRM_INTERVAL_MS)
    probe(path)
      .catch((error: unknown) => { log('internalError', { error: String(error) }) })
      .finally(() => { isProbing = false })
  }

  const stopChecks = ticker.add(PROBE_INTERVAL_MS, update)
  return {
    update,
    close: () => {
      isClosed = true
      stopChecks()
    }
  }
}
