import { Agent, request } from 'node:http'
import { build, type Histogram } from 'hdr-histogram-js'

/** Options of the load process, passed as JSON in its first argument. */
export interface LoadProcessOptions {
  readonly address: string
  readonly path: string
  readonly requestsPerSecond: number
  readonly warmUpMs: number
  readonly durationMs: number
  readonly connections: number
}

/** Result of the load process, printed to standard output as JSON. Latencies in milliseconds. */
export interface LoadProcessResult {
  readonly completed: number
  readonly failed: number
  readonly p50: number
  readonly p90: number
  readonly p99: number
  readonly p999: number
}

/** Sends open-loop load at a fixed rate and measures the latency of each request from the time it was due. */
async function sendLoad (options: LoadProcessOptions): Promise<LoadProcessResult> {
  const agent = new Agent({ keepAlive: true, maxSockets: options.connections, maxFreeSockets: options.connections })
  const histogram: Histogram = build({
    lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3
  })
  let completed = 0
  let failed = 0
  let pending = 0
  const startedAt = performance.now()
  const measurementStart = startedAt + options.warmUpMs
  const endAt = measurementStart + options.durationMs

  function send (dueAt: number): void {
    pending += 1
    const end = (isSuccessful: boolean): void => {
      pending -= 1
      if (dueAt < measurementStart) return
      if (isSuccessful) {
        completed += 1
        histogram.recordValue(Math.max(1, Math.round((performance.now() - dueAt) * 1000)))
      } else failed += 1
    }
    request(`http://${options.address}${options.path}`, { agent }, (response) => {
      response.resume()
      response.on('end', () => end(response.statusCode === 200))
      response.on('error', () => end(false))
    }).on('error', () => end(false)).end()
  }

  await new Promise<void>((resolve) => {
    let sent = 0
    // Timers fire up to a millisecond late, which would count as latency, so this polls from the event loop instead.
    const sendDueRequests = (): void => {
      const now = performance.now()
      for (;;) {
        const dueAt = startedAt + sent * 1000 / options.requestsPerSecond
        if (dueAt > now || dueAt >= endAt) break
        sent += 1
        send(dueAt)
      }
      if (now < endAt || (pending > 0 && now < endAt + 5000)) setImmediate(sendDueRequests)
      else resolve()
    }
    sendDueRequests()
  })
  agent.destroy()
  const readPercentile = (percentile: number): number => histogram.getValueAtPercentile(percentile) / 1000
  return {
    completed,
    failed,
    p50: readPercentile(50),
    p90: readPercentile(90),
    p99: readPercentile(99),
    p999: readPercentile(99.9)
  }
}

process.stdout.write(JSON.stringify(await sendLoad(JSON.parse(process.argv[2] ?? '{}') as LoadProcessOptions)) + '\n')
