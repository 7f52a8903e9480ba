import { createFaultProxy, type FaultProxy } from '@snipenotch/stand-ins'
import { PLATFORM_HEADERS } from '@snipenotch/platform'
import { writeFileSync } from 'node:fs'
import { createServer, request, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { findFreePort } from '../../../emulator/src/mesh/findFreePort.js'
import { startProcess, type StartedProcess } from '../../../emulator/src/mesh/startProcess.js'
import { composeReport, composeSettings, HEALTH_PATH } from '../../../../platform/tests/composeWire.js'
import { composeAnswerBody, type RequestRecorder } from './createRequestRecorder.js'
import { composeMalformedResponse } from './malformedHeads.js'

/** Host of the soak test: a node process, and a backend server in this process. */
export interface SoakHost {
  readonly host: string
  readonly service: string
  readonly dataCentre: string
  readonly callersPort: number
  readonly storeProxy: FaultProxy
  readonly backendProxy: FaultProxy
  readonly isRunning: () => boolean
  /** Node processes of the host that have not exited. */
  readonly countNodes: () => number
  /** Times that the node was killed or paused; requests open at that time may get no response. */
  readonly countInterruptions: () => number
  /** Sends a signal to the node; after one that ends it, the node is restarted with a delay of `restartMs`. */
  readonly signal: (name: NodeJS.Signals, restartMs?: number) => void
  /** Drains the backend server and starts a new run of it after the drain time. */
  readonly drainAndRestart: () => Promise<void>
  /** Crashes the backend server and restarts it cold under a new instance name, before it reports. */
  readonly crashAndRestart: (coldMs: number) => void
  /** Makes the running backend server cold, unless it received a request just before. */
  readonly turnCold: (coldMs: number) => void
  /** Sets the share of responses whose head is malformed. */
  readonly setMalformedShare: (share: number) => void
  readonly stop: () => Promise<void>
  /** Log of all node processes of the host so far. */
  readonly readLog: () => string
}

/** Options of `startSoakHost`. */
export interface SoakHostOptions {
  /** Files of the node's program, taken in turn by the starts of the node. */
  readonly bundles: readonly string[]
  readonly directory: string
  readonly host: string
  readonly service: string
  readonly dataCentre: string
  readonly storeAddress: string
  readonly recorder: RequestRecorder
  readonly random: () => number
}

/** Parameter of a request with the bytes of its response beyond the echo of the request. */
export const ANSWER_BYTES_PARAMETER = 'answer-bytes'
const SLOTS = 4
/**
 * Requests per second that a cold backend server can take, and the number above which the users count it as overloaded.
 */
export const COLD_PER_SECOND = 2
const COLD_BOUND = COLD_PER_SECOND * 1.5 + 5
/** Time without a request after which a backend server counts as idle, in milliseconds. */
const QUIET_MS = 500
const REPORT_INTERVAL_MS = 800
/** Time limit from the acknowledgement of a drain notice to the last request, as in the settings, in milliseconds. */
const DRAIN_MS = 2000
/** Share of responses that are lost after the request ran. */
const LOST_ANSWER_SHARE = 0.02
/** Signals that a node cannot handle. */
const BREAKS: ReadonlySet<NodeJS.Signals> = new Set(['SIGKILL', 'SIGSTOP'])
const KILLS: ReadonlySet<NodeJS.Signals> = new Set(['SIGKILL', 'SIGTERM'])
const awaitPause = (duration: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, duration) })

/** Starts the host's backend server, proxies and node. */
export async function startSoakHost (options: SoakHostOptions): Promise<SoakHost> {
  const { host, service, dataCentre, recorder, random } = options
  let run = 1
  let sequence = 0
  let running = 0
  let leavingAckedAt: number | undefined
  let state: 'serving' | 'draining' = 'serving'
  let isStopped = false
  let breaks = 0
  let coldUntil = 0
  /** Arrival times of requests in the cold phase, within the last second. */
  let coldArrivals: number[] = []
  let arrivedAt = 0
  let malformedShare = 0
  const computeColdMs = (): number => Math.max(0, Math.round(coldUntil - performance.now()))
  const getInstance = (): string => `i-${host}-${run}`

  function recordColdArrival (id: string): void {
    const now = performance.now()
    arrivedAt = now
    if (now > coldUntil) return
    coldArrivals = [...coldArrivals.filter((at) => at > now - 1000), now]
    if (coldArrivals.length <= COLD_BOUND) return
    recorder.recordViolation('cold', `${id} is number ${coldArrivals.length} in a second at ${getInstance()}, which is cold`)
  }

  function handleRequest (incoming: IncomingMessage, response: ServerResponse, body: string): void {
    const id = String(incoming.headers[PLATFORM_HEADERS.attemptId] ?? '')
    const isNamed = incoming.headers[PLATFORM_HEADERS.targetInstance] === getInstance()
    if (!isNamed) {
      response.writeHead(421, { [PLATFORM_HEADERS.attemptId]: id, 'Content-Length': 0 }).end()
      return
    }
    if (leavingAckedAt !== undefined && performance.now() > leavingAckedAt + DRAIN_MS) {
      recorder.recordViolation('drain', `${id} reached ${getInstance()} after its time to drain`)
    }
    recordColdArrival(id)
    running += 1
    if (running > SLOTS) recorder.recordViolation('slots', `${running} requests at ${getInstance()}`)
    recorder.recordRun(id, service, body)
    const timer = setTimeout(() => {
      if (random() < LOST_ANSWER_SHARE) {
        incoming.socket.destroy()
        return
      }
      // Not drawn otherwise: the draws of older seeds depend on their number.
      if (malformedShare > 0 && random() < malformedShare) {
        incoming.socket.end(composeMalformedResponse(id, random))
        return
      }
      const answerBytes = Number(new URLSearchParams(incoming.url?.split('?')[1]).get(ANSWER_BYTES_PARAMETER))
      const text = composeAnswerBody(id, body, answerBytes)
      const headers = { [PLATFORM_HEADERS.attemptId]: id, [PLATFORM_HEADERS.signature]: 'signed', 'Content-Length': Buffer.byteLength(text) }
      response.writeHead(200, headers).end(text)
    }, 5 + random() * 50)
    response.on('close', () => {
      clearTimeout(timer)
      running -= 1
    })
  }

  const backend = createServer((incoming, response) => {
    const chunks: Buffer[] = []
    incoming.on('data', (chunk: Buffer) => chunks.push(chunk))
    // The request of a sender that disconnects in the middle of a body has not run.
    incoming.on('error', () => { response.destroy() })
    incoming.on('end', () => {
      if (incoming.url !== HEALTH_PATH) handleRequest(incoming, response, Buffer.concat(chunks).toString())
      else {
        const status = state === 'serving' ? 200 : 503
        const cold = { [PLATFORM_HEADERS.coldMs]: String(computeColdMs()) }
        response.writeHead(status, { [PLATFORM_HEADERS.instance]: getInstance(), 'Content-Length': 0, ...cold }).end()
      }
    })
  })
  await new Promise<void>((resolve) => { backend.listen(0, '127.0.0.1', resolve) })
  const backendProxy = await createFaultProxy(`127.0.0.1:${(backend.address() as AddressInfo).port}`, random)
  const storeProxy = await createFaultProxy(options.storeAddress, random)
  const ports = await Promise.all(Array.from({ length: 6 }, findFreePort))
  const [callers, requests, readiness, reports, peers, metrics] = ports
  if (callers === undefined || reports === undefined) throw new Error('no free port')
  if (peers === undefined || metrics === undefined) throw new Error('no free port')
  const file = `${options.directory}/${host}.toml`
  writeFileSync(file, composeSettings({
    host,
    dataCentre,
    service,
    callers: `127.0.0.1:${callers}`,
    requests: `127.0.0.1:${requests}`,
    readiness: `127.0.0.1:${readiness}`,
    reports: `127.0.0.1:${reports}`,
    backend: backendProxy.address,
    store: storeProxy.address,
    ports: [peers, metrics]
  }))

  /** Sends a status report; true if the node acknowledged it. */
  function report (): Promise<boolean> {
    sequence += 1
    const fields = {
      address: backendProxy.address, service, dataCentre, sequence, state, startedAt: run, coldMs: computeColdMs()
    }
    const { path, body } = composeReport(getInstance(), fields)
    return new Promise((resolve) => {
      const outgoing = request({ host: '127.0.0.1', port: reports, path, method: 'POST', timeout: 1000 }, (incoming) => {
        incoming.resume()
        resolve(incoming.statusCode === 200)
      })
      outgoing.on('timeout', () => { outgoing.destroy() })
      outgoing.on('error', () => { resolve(false) })
      outgoing.end(body)
    })
  }
  async function reportOn (): Promise<void> {
    const sentState = state
    const sent = `${getInstance()} ${state} ${sequence + 1} cold ${computeColdMs()}`
    const isAcknowledged = await report()
    recorder.recordEvent(`report ${sent} ${isAcknowledged ? 'acknowledged' : 'lost'}`)
    if (isAcknowledged && sentState === 'draining' && state === 'draining') leavingAckedAt ??= performance.now()
    await awaitPause(REPORT_INTERVAL_MS)
    if (!isStopped) await reportOn()
  }

  function beginCold (coldMs: number): void {
    coldArrivals = []
    coldUntil = performance.now() + coldMs
    recorder.recordEvent(`${getInstance()} is cold for ${Math.round(coldMs)} ms`)
  }

  let node: StartedProcess | undefined
  let starts = 0
  /** Node processes that have not exited. */
  const nodes = new Set<StartedProcess>()
  const logs = new Set<StartedProcess>()
  function startNode (): void {
    // Each signal to a process schedules a restart, so several may be due.
    if (isStopped || node !== undefined) return
    const bundle = options.bundles[starts % options.bundles.length]
    if (bundle === undefined) throw new Error('no file of the node program, expected one or more')
    starts += 1
    const started = startProcess(bundle, [], { env: { SNIPENOTCH_NODE_FILE: file } })
    node = started
    nodes.add(started)
    logs.add(started)
    recorder.recordEvent(`node of ${host} starts`)
    const forget = (): void => {
      recorder.recordEvent(`node of ${host} has exited`)
      nodes.delete(started)
      if (node === started) node = undefined
    }
    started.exited.then(forget, forget)
  }
  startNode()
  reportOn().catch((error: unknown) => { recorder.recordViolation('soak', String(error)) })

  return {
    host,
    service,
    dataCentre,
    callersPort: callers,
    storeProxy,
    backendProxy,
    isRunning: () => node !== undefined,
    countNodes: () => nodes.size,
    countInterruptions: () => breaks,
    signal: (name, restartMs = 0) => {
      const target = node
      if (target === undefined) return
      target.child.kill(name)
      recorder.recordEvent(`${name} to the node of ${host}`)
      if (BREAKS.has(name)) breaks += 1
      if (!KILLS.has(name)) return
      target.exited.then(() => { setTimeout(startNode, restartMs) }, () => undefined)
    },
    crashAndRestart: (coldMs) => {
      if (state === 'draining') return
      backend.closeAllConnections()
      backendProxy.resetAll()
      run += 1
      sequence = 0
      beginCold(coldMs)
    },
    turnCold: (coldMs) => { if (performance.now() > arrivedAt + QUIET_MS) beginCold(coldMs) },
    drainAndRestart: async () => {
      if (state === 'draining') return
      state = 'draining'
      await awaitPause(DRAIN_MS * 2)
      run += 1
      sequence = 0
      leavingAckedAt = undefined
      state = 'serving'
    },
    setMalformedShare: (share) => { malformedShare = share },
    stop: async () => {
      isStopped = true
      for (const { child } of nodes) {
        child.kill('SIGCONT')
        child.kill('SIGKILL')
      }
      await Promise.all([...nodes].map(({ exited }) => exited))
      for (const proxy of [storeProxy, backendProxy]) proxy.stop()
      backend.closeAllConnections()
      backend.close()
    },
    readLog: () => [...logs].map(({ readOutput }) => readOutput()).join('')
  }
}
