import { Agent, request } from 'node:http'
import { build, type Histogram } from 'hdr-histogram-js'

/** What the load process is told on its command line, as JSON. */
export interface LoadPlan {
  readonly address: string
  readonly path: string
  readonly requestsPerSecond: number
  readonly warmUpMs: number
  readonly durationMs: number
  readonly connections: number
}

/** What it prints when it is done, as JSON. Latencies in milliseconds. */
export interface LoadResult {
  readonly completed: number
  readonly failed: number
  readonly p50: number
  readonly p90: number
  readonly p99: number
  readonly p999: number
}

/** Sends requests at a fixed rate, whatever the answers do, and measures each from its due time. */
async function runLoad (plan: LoadPlan): Promise<LoadResult> {
  const agent = new Agent({ keepAlive: true, maxSockets: plan.connections, maxFreeSockets: plan.connections })
  const histogram: Histogram = build({
    lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3
  })
  let completed = 0
  let failed = 0
  let pending = 0
  const startedAt = performance.now()
  const measureFrom = startedAt + plan.warmUpMs
  const endAt = measureFrom + plan.durationMs

  function send (dueAt: number): void {
    pending += 1
    const end = (isGood: boolean): void => {
      pending -= 1
      if (dueAt < measureFrom) return
      if (isGood) {
        completed += 1
        histogram.recordValue(Math.max(1, Math.round((performance.now() - dueAt) * 1000)))
      } else failed += 1
    }
    request(`http://${plan.address}${plan.path}`, { agent }, (answer) => {
      answer.resume()
      answer.on('end', () => end(answer.statusCode === 200))
      answer.on('error', () => end(false))
    }).on('error', () => end(false)).end()
  }

  await new Promise<void>((resolve) => {
    let sent = 0
    // A sleeping timer wakes up to a millisecond late, which would count as latency; the event loop is polled instead.
    const step = (): void => {
      const now = performance.now()
      for (;;) {
        const dueAt = startedAt + sent * 1000 / plan.requestsPerSecond
        if (dueAt > now || dueAt >= endAt) break
        sent += 1
        send(dueAt)
      }
      if (now < endAt || (pending > 0 && now < endAt + 5000)) setImmediate(step)
      else resolve()
    }
    step()
  })
  agent.destroy()
  const read = (percentile: number): number => histogram.getValueAtPercentile(percentile) / 1000
  return { completed, failed, p50: read(50), p90: read(90), p99: read(99), p999: read(99.9) }
}

process.stdout.write(JSON.stringify(await runLoad(JSON.parse(process.argv[2] ?? '{}') as LoadPlan)) + '\n')
