import type { BackendServerSettings } from './backendServerSettingsSchema.js'

/** Answer of the health endpoint. */
export interface HealthReport {
  readonly state: 'serving' | 'draining' | 'failing'
}

/** Answer of the load endpoint. */
export interface LoadReport {
  readonly running: number
  readonly waiting: number
  readonly slots: number
}

export interface Reports {
  readonly readHealth: () => HealthReport
  readonly readLoad: () => LoadReport
  readonly stop: () => void
}

interface Sample {
  readonly at: number
  readonly health: HealthReport
  readonly load: LoadReport
}

const SAMPLE_INTERVAL_MS = 50
const MAX_SAMPLES = 2400

/** Keeps samples of the true state, so that the health and load endpoints can lag behind it or lie about it. */
export function createReports (
  settings: () => BackendServerSettings, measure: () => { health: HealthReport, load: LoadReport }
): Reports {
  const samples: Sample[] = []
  const record = (): void => {
    samples.push({ at: Date.now(), ...measure() })
    if (samples.length > MAX_SAMPLES) samples.shift()
  }
  record()
  const timer = setInterval(record, SAMPLE_INTERVAL_MS).unref()

  function readSample (): { health: HealthReport, load: LoadReport } {
    const lag = settings().reportLagMs
    if (lag === 0) return measure()
    const until = Date.now() - lag
    return samples.findLast(({ at }) => at <= until) ?? samples[0] ?? measure()
  }

  return {
    readHealth: () => {
      const { reportHealth } = settings()
      return reportHealth === 'true' ? readSample().health : { state: reportHealth }
    },
    readLoad: () => {
      const { reportLoad, slots } = settings()
      switch (reportLoad) {
        case 'true': return readSample().load
        case 'idle': return { running: 0, waiting: 0, slots }
        case 'busy': return { running: slots, waiting: slots, slots }
      }
    },
    stop: () => clearInterval(timer)
  }
}
