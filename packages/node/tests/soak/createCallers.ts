import { PLATFORM_HEADERS } from '@snipenotch/platform'
import { createRandom } from '@snipenotch/stand-ins'
import { Agent, request } from 'node:http'
import { openSlowLink } from '../openSlowLink.js'
import type { RequestRecorder, SentRequest } from './createRequestRecorder.js'
import { type CallerConnection, openCallerConnection } from './openCallerConnection.js'
import { SERVICES } from './SERVICES.js'
import { ANSWER_BYTES_PARAMETER, type SoakHost } from './startSoakHost.js'

/** Callers of all nodes: some directly, some over slow links. */
export interface Callers {
  /**
   * Sends the next request to a node, for a share of them with another one behind it, and records how they end.
   * Resolves with the HTTP status of the first, or 0 without a response.
   */
  readonly sendNext: (host: SoakHost) => Promise<number>
  /**
   * Sends up to `count` safe requests over one slow link without awaiting their answers, until the node ends the
   * connection; resolves when all have ended.
   */
  readonly sendPipelined: (host: SoakHost, count: number) => Promise<void>
  /** Sends requests with large bodies over slow links; resolves when all have ended. */
  readonly sendUploads: (host: SoakHost, count: number) => Promise<void>
  readonly close: () => void
}

/** Options of `createCallers`. */
export interface CallersOptions {
  readonly recorder: RequestRecorder
  /** Draws requests and faults. */
  readonly random: () => number
  /** Seed of links and of what their callers do: the draws of older seeds depend on the number of calls of `random`. */
  readonly linkSeed: number
}

/** Share of callers that disconnect before the response. */
const LEAVING_SHARE = 0.05
/** Share of requests with a body large enough to be pulled, and its size in bytes. */
const LARGE_SHARE = 0.1
const LARGE_BYTES = 60_000
/** Smallest and largest body of an upload, in bytes. */
const UPLOAD_BYTES = [30_000, 95_000] as const
/** Timeout of callers in milliseconds, and the time beyond it after which a request counts as held forever. */
export const CALLER_TIME_MS = 1500
export const END_SLACK_MS = 3000
/** Share of requests with a large response, and the most bytes of it beyond the echo of the request. */
const LARGE_ANSWER_SHARE = 0.1
const MAX_ANSWER_BYTES = 300_000
/** Share of callers that come over a slow link. */
const SLOW_SHARE = 0.3
/** Least and most delay in milliseconds, bandwidth in bytes per millisecond and window in bytes of a slow link. */
const DELAY_MS = [2, 30] as const
const BYTES_PER_MS = [500, 2000] as const
const UPLOAD_BYTES_PER_MS = [200, 600] as const
const WINDOW_BYTES = [16_384, 65_536] as const
/** Share of the callers over slow links that use an idle connection if there is one, and most idle ones at a node. */
const REUSE_SHARE = 0.7
const MAX_IDLE = 3
/** Share of safe requests over slow links with another one behind them, and the most time between, in milliseconds. */
const BEHIND_SHARE = 0.4
const MAX_BEHIND_MS = 100
/** Share of callers over slow links that read late, and the longest time until then, in milliseconds. */
const LATE_SHARE = 0.2
const MAX_LATE_MS = 300
const awaitPause = (duration: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, duration) })

/** Creates callers without connections. */
export function createCallers ({ recorder, random, linkSeed }: CallersOptions): Callers {
  const agent = new Agent({ keepAlive: true })
  const linkRandom = createRandom(linkSeed)
  const idle = new Map<SoakHost, CallerConnection[]>()
  const open = new Set<CallerConnection>()
  let serial = 0

  const drawBetween = ([from, to]: readonly [number, number]): number => Math.round(from + linkRandom() * (to - from))

  function drawAnswerBytes (): number {
    return linkRandom() < LARGE_ANSWER_SHARE ? drawBetween([0, MAX_ANSWER_BYTES]) : 0
  }

  function drawRequest (): SentRequest {
    serial += 1
    const { service, isIdempotent } = SERVICES[random() < 0.5 ? 0 : 1]
    const body = isIdempotent ? '' : `order ${serial}${random() < LARGE_SHARE ? 'x'.repeat(LARGE_BYTES) : ''}`
    return { id: `soak-${serial}`, service, isIdempotent, body, answerBytes: drawAnswerBytes() }
  }

  function composeHead ({ id, service, isIdempotent, answerBytes }: SentRequest): {
    readonly method: string, readonly path: string, readonly headers: Readonly<Record<string, string>>
  } {
    return {
      method: isIdempotent ? 'GET' : 'POST',
      path: `/${service}/${id}${answerBytes > 0 ? `?${ANSWER_BYTES_PARAMETER}=${answerBytes}` : ''}`,
      headers: { host: 'a.example', [PLATFORM_HEADERS.attemptId]: id, [PLATFORM_HEADERS.remainingMs]: String(CALLER_TIME_MS) }
    }
  }

  function composeRequest (sent: SentRequest): string {
    const { method, path, headers } = composeHead(sent)
    const length = sent.body === '' ? {} : { 'content-length': String(Buffer.byteLength(sent.body)) }
    const lines = Object.entries({ ...headers, ...length }).map(([name, value]) => `${name}: ${value}\r\n`)
    return `${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n${sent.body}`
  }

  /** Sends a request directly; the caller disconnects after `leaveMs`. */
  function sendDirectly (host: SoakHost, sent: SentRequest, leaveMs: number | undefined): Promise<number> {
    const { id } = sent
    const breaks = host.countInterruptions()
    recorder.recordSent(sent)
    return new Promise((resolve) => {
      let hasLeft = false
      let isDone = false
      const leave = (): void => {
        hasLeft = true
        outgoing.destroy()
      }
      const end = (): void => {
        isDone = true
        recorder.recordEnd(id)
        if (!hasLeft && host.countInterruptions() === breaks) recorder.recordCut(id)
        resolve(0)
      }
      const outgoing = request({ agent, host: '127.0.0.1', port: host.callersPort, ...composeHead(sent) }, (incoming) => {
        const chunks: Buffer[] = []
        incoming.on('data', (chunk: Buffer) => chunks.push(chunk))
        incoming.on('error', end)
        incoming.on('end', () => {
          if (!incoming.complete) return
          isDone = true
          const status = incoming.statusCode ?? 0
          const echoedId = String(incoming.headers[PLATFORM_HEADERS.attemptId] ?? '')
          recorder.recordAnswer(id, { status, echoedId, body: Buffer.concat(chunks).toString() })
          resolve(status)
        })
      })
      outgoing.on('error', end)
      outgoing.end(sent.body)
      if (leaveMs !== undefined) setTimeout(leave, leaveMs)
      setTimeout(() => {
        if (!hasLeft && !isDone && host.countInterruptions() === breaks) recorder.recordViolation('held', `${id} has no response`)
        leave()
      }, CALLER_TIME_MS + END_SLACK_MS).unref()
    })
  }

  function takeConnection (host: SoakHost, bandwidths: readonly [number, number]): CallerConnection {
    const connection = linkRandom() < REUSE_SHARE ? idle.get(host)?.pop() : undefined
    if (connection?.isOpen() === true) return connection
    const opened = openCallerConnection(openSlowLink(host.callersPort, {
      delayMs: drawBetween(DELAY_MS), bytesPerMs: drawBetween(bandwidths), windowBytes: drawBetween(WINDOW_BYTES)
    }))
    open.add(opened)
    return opened
  }

  function releaseConnection (host: SoakHost, connection: CallerConnection): void {
    const others = idle.get(host)?.filter((other) => other.isOpen()) ?? []
    if (connection.isOpen() && others.length < MAX_IDLE) {
      idle.set(host, [...others, connection])
      return
    }
    open.delete(connection)
    connection.close()
  }

  /** Sends requests over one slow link without awaiting their answers; resolves with the status of the first. */
  async function sendSlowly (
    host: SoakHost, requests: readonly SentRequest[], bandwidths: readonly [number, number]
  ): Promise<number> {
    const connection = takeConnection(host, bandwidths)
    let hasLeft = false

    function sendOver (sent: SentRequest): Promise<number> {
      const { id } = sent
      const breaks = host.countInterruptions()
      recorder.recordSent(sent)
      return new Promise((resolve) => {
        const timer = setTimeout(() => {
          if (!hasLeft && host.countInterruptions() === breaks) recorder.recordViolation('held', `${id} has no response`)
          hasLeft = true
          connection.close()
        }, CALLER_TIME_MS + END_SLACK_MS)
        connection.send(composeRequest(sent), (answer) => {
          clearTimeout(timer)
          if (answer === undefined) {
            recorder.recordEnd(id)
            if (!hasLeft && host.countInterruptions() === breaks) recorder.recordCut(id)
          } else {
            const echoedId = answer.headers.get(PLATFORM_HEADERS.attemptId.toLowerCase()) ?? ''
            recorder.recordAnswer(id, { status: answer.status, echoedId, body: answer.body })
          }
          resolve(answer?.status ?? 0)
        })
      })
    }

    const ends: Array<Promise<number>> = []
    for (const sent of requests) {
      if (ends.length > 0) await awaitPause(linkRandom() * MAX_BEHIND_MS)
      if (!connection.isOpen()) break
      if (linkRandom() < LATE_SHARE) {
        connection.pause()
        setTimeout(connection.resume, linkRandom() * MAX_LATE_MS)
      }
      ends.push(sendOver(sent))
    }
    const [status = 0] = await Promise.all(ends)
    releaseConnection(host, connection)
    return status
  }

  /** Draws the request behind a safe one. */
  function drawBehind (first: SentRequest): SentRequest[] {
    if (!first.isIdempotent || linkRandom() >= BEHIND_SHARE) return []
    return [{ ...first, id: `${first.id}-behind`, answerBytes: drawAnswerBytes() }]
  }

  return {
    sendNext: (host) => {
      const sent = drawRequest()
      const leaveMs = random() < LEAVING_SHARE ? random() * 60 : undefined
      if (linkRandom() >= SLOW_SHARE) return sendDirectly(host, sent, leaveMs)
      return sendSlowly(host, [sent, ...drawBehind(sent)], BYTES_PER_MS)
    },
    sendPipelined: async (host, count) => {
      const requests = Array.from({ length: count }, () => {
        serial += 1
        return { id: `soak-${serial}`, service: 'parts', isIdempotent: true, body: '', answerBytes: drawAnswerBytes() }
      })
      await sendSlowly(host, requests, BYTES_PER_MS)
    },
    sendUploads: async (host, count) => {
      await Promise.all(Array.from({ length: count }, () => {
        serial += 1
        const body = `upload ${serial}`.padEnd(drawBetween(UPLOAD_BYTES), 'x')
        const sent = { id: `soak-${serial}`, service: 'orders', isIdempotent: false, body, answerBytes: 0 }
        return sendSlowly(host, [sent], UPLOAD_BYTES_PER_MS)
      }))
    },
    close: () => {
      agent.destroy()
      for (const connection of open) connection.close()
    }
  }
}
