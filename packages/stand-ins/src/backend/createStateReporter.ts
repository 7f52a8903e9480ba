import type { BackendServerSettings } from './backendServerSettingsSchema.js'

/** Response of the health endpoint. */
export interface HealthResponse {
  readonly state: 'serving' | 'draining' | 'failing'
}

/** Response of the load endpoint. */
export interface LoadResponse {
  readonly running: number
  readonly waiting: number
  readonly slots: number
}

/** Creates the responses of the health and load endpoints. */
export interface StateReporter {
  readonly readHealth: () => HealthResponse
  readonly readLoad: () => LoadResponse
  readonly stop: () => void
}

interface StateSample {
  readonly at: number
  readonly health: HealthResponse
  readonly load: LoadResponse
}

const SAMPLE_INTERVAL_MS = 50
const MAX_SAMPLES = 2400

/** Creates a reporter that samples the actual state, so that the endpoints can report an outdated or a fixed one. */
export function createStateReporter (
  settings: () => BackendServerSettings, measure: () => { health: HealthResponse, load: LoadResponse }
): StateReporter {
  const samples: StateSample[] = []
  const record = (): void => {
    samples.push({ at: Date.now(), ...measure() })
    if (samples.length > MAX_SAMPLES) samples.shift()
  }
  record()
  const timer = setInterval(record, SAMPLE_INTERVAL_MS).unref()

  function readSample (): { health: HealthResponse, load: LoadResponse } {
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
