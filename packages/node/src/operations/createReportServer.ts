import type { InstanceState } from '@snipenotch/decisions'
import { decodeLeave, decodeReport, parseInstanceCall } from '@snipenotch/platform'
import { createServer, type IncomingMessage, type Server } from 'node:http'
import type { NodeContext } from '../NodeContext.js'
import { formatAddress } from '../peers/parseAddress.js'
import { runContained } from './runContained.js'

/** Options of `createReportServer`. */
export interface ReportServerOptions {
  readonly context: NodeContext
  readonly instance: InstanceState
  /** Requests sent to the backend server in the last second. */
  readonly countSends: () => number
  /** Called after a report or drain notice that was not outdated. */
  readonly onChange: () => void
}

/** Largest report body that is read, in bytes. */
const MAX_REPORT_BYTES = 16_384

function readBody (incoming: IncomingMessage, onBody: (text: string) => void): void {
  const chunks: Buffer[] = []
  let size = 0
  incoming.on('data', (chunk: Buffer) => {
    size += chunk.length
    if (size <= MAX_REPORT_BYTES) chunks.push(chunk)
  })
  incoming.on('end', () => { onBody(Buffer.concat(chunks).toString('utf8')) })
}

/** Creates the server for the status reports of the backend server on this host. */
export function createReportServer ({ context, instance, countSends, onChange }: ReportServerOptions): Server {
  const { settings, clock, log } = context

  function describeInstance (): string {
    const run = instance.getRun()
    return `${run?.instance ?? ''} ${run?.startedAt ?? 0} ${run?.version ?? ''} ${run?.state ?? ''} ${instance.isDown()} ${instance.isConfirmed()}`
  }

  function notifyChange (before: string): void {
    if (describeInstance() !== before) {
      log('instanceChanged', {
        ...instance.getRun(),
        coldMs: Math.max(0, Math.round(instance.getColdUntil() - clock.now())),
        isConfirmed: instance.isConfirmed()
      })
    }
    onChange()
  }

  /** Handles a status report and returns the HTTP status; reports of other backend servers are not acknowledged. */
  function handleReport (name: string, text: string): number {
    const before = describeInstance()
    const report = decodeReport(name, text)
    if (report.isErr()) {
      log('reportUnreadable', { detail: report.error })
      return 400
    }
    const { service, address, sequence } = report.value
    if (service !== settings.service || address !== formatAddress(settings.backend)) {
      log('reportUnreadable', { detail: 'report is from another service or address', found: { service, address, instance: name } })
      return 400
    }
    const now = clock.now()
    const wasCold = instance.getColdUntil() > now
    if (instance.applyReport(report.value, now)) {
      if ((instance.getColdUntil() > now) !== wasCold) {
        const { coldMs } = report.value
        log('coldChanged', { source: 'report', coldMs, sends: countSends(), instance: name, sequence })
      }
      notifyChange(before)
    } else log('reportOutdated', { instance: name, sequence, known: instance.getRun()?.sequence })
    return 200
  }

  /** Handles the notice that the backend server is draining, and returns the HTTP status. */
  function handleDrainNotice (name: string, text: string): number {
    const before = describeInstance()
    const startedAt = decodeLeave(text)
    if (startedAt.isErr()) {
      log('reportUnreadable', { detail: startedAt.error })
      return 400
    }
    if (instance.applyLeave(name, startedAt.value, clock.now())) notifyChange(before)
    else log('reportOutdated', { instance: name, known: instance.getRun()?.sequence })
    return 200
  }

  return createServer((incoming, response) => {
    const call = parseInstanceCall(incoming.url ?? '')
    readBody(incoming, (text) => {
      let status = call === undefined ? 404 : 500
      runContained(context, () => {
        if (call?.kind === 'report') status = handleReport(call.instance, text)
        if (call?.kind === 'leave') status = handleDrainNotice(call.instance, text)
      })
      response.writeHead(status, { 'content-type': 'application/json', 'content-length': 2 }).end('{}')
    })
  })
}
