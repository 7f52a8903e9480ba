import { addMilliseconds, type NodeSettings, toMilliseconds } from '@snipenotch/contracts'
import { createInstanceState, createLoadBalancer, createReplica, type ReplicaRow } from '@snipenotch/decisions'
import { createStoreClient } from '@snipenotch/platform'
import { createServer, type Server } from 'node:http'
import { createCandidateFinder } from './entry/createCandidateFinder.js'
import { createEntryServer } from './entry/createEntryServer.js'
import { createExchange } from './entry/createExchange.js'
import { createForwardingClient } from './entry/createForwardingClient.js'
import { createRetryBudgets } from './entry/createRetryBudgets.js'
import { createBackendClient } from './home/createBackendClient.js'
import { createBackendDispatcher } from './home/createBackendDispatcher.js'
import { createInstanceProber } from './home/createInstanceProber.js'
import { createForwardingServer } from './home/createForwardingServer.js'
import { probeInstance } from './home/probeInstance.js'
import type { NodeContext } from './NodeContext.js'
import { createLoadLog } from './operations/createLoadLog.js'
import { createReportServer } from './operations/createReportServer.js'
import { createRolloutKeeper } from './operations/createRolloutKeeper.js'
import { createHostHealth } from './peers/createHostHealth.js'
import { createPeerServer } from './peers/createPeerServer.js'
import { formatAddress } from './peers/parseAddress.js'
import { createHostRecorder } from './rows/createHostRecorder.js'
import { createMeshView } from './rows/createMeshView.js'
import { createOwnRecord } from './rows/createOwnRecord.js'
import { createPeerRows } from './rows/createPeerRows.js'
import { createReaderFollower } from './rows/createReaderFollower.js'
import { createRowFollower } from './rows/createRowFollower.js'
import { createTableCursors } from './rows/createTableCursors.js'
import { FOLLOWED_TABLES, MESH_TABLE } from './rows/TABLES.js'

/** A node beside a backend server. */
export interface MeshNode {
  readonly start: () => Promise<void>
  /** Lets requests end and resolves when the process may exit. */
  readonly stop: () => Promise<void>
}

/** Time for which callers may still open connections after the stop signal, in milliseconds: two missed questions. */
const LINGER_MS = 2300
/**
 * Time for which the backend server still gets requests after the stop signal, in milliseconds; they end in the rest.
 */
const HOME_LINGER_MS = 1700
/** End of the grace period in which requests are no longer awaited, in milliseconds: time for the process to end. */
const EXIT_RESERVE_MS = 300
/** Time for sending what is answered because the grace period ends, in milliseconds. */
const LAST_ANSWERS_MS = 150
/** Status reports that may be missing until the backend server is asked. */
const REPORTS_OF_TRUST = 3
/** Time between two looks at whether all requests have ended, in milliseconds. */
const STOP_POLL_MS = 25
/** Time for removing the record of a host whose backend server has left, in milliseconds. */
const RECORD_FLUSH_MS = 500

function listen (server: Server, address: NodeSettings['callers']): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(address.port, address.host, 1024, resolve)
  })
}

/** Creates a node; nothing listens before `start`. */
export function createNode (context: NodeContext): MeshNode {
  const { settings, clock, log, counters, draw } = context
  const store = createStoreClient(settings.store)
  const replica = createReplica()
  const instance = createInstanceState({
    statusLifetimeMs: settings.reportIntervalMs * REPORTS_OF_TRUST, requiresConfirmation: true
  })
  const backend = createBackendClient(context)
  const health = createHostHealth(context, { getHost: (host) => view.getHost(host) })
  const view = createMeshView(context, () => {
    entry.updateLimits()
    record.applyLeave()
    home.update()
    probeOnce().catch((error: unknown) => { log('internalError', { error: String(error) }) })
  })
  const applyRows = (rows: readonly ReplicaRow[]): void => { view.apply(rows) }
  const recorder = createHostRecorder({ context, store, replica, onRows: applyRows })
  const cursors = createTableCursors()
  const getStoreTime = (): number | undefined => followers[0]?.getStoreTime()
  const reader = createReaderFollower({
    context,
    view,
    health,
    replica,
    cursors,
    onRows: applyRows,
    onStoreTime: (storeTime) => { followers[0]?.setStoreTime(storeTime) }
  })
  const followers = FOLLOWED_TABLES.map((table) => createRowFollower({
    context, store, replica, table, cursors, onRows: applyRows, isFollowing: reader.isFollowing
  }))
  const isStoreConnected = (): boolean =>
    reader.isFollowing() || followers.every((follower) => follower.isConnected())
  // Others choose another reader before this process ends.
  const isReader = (): boolean => !isStopping && isStoreConnected()
  const peerRows = createPeerRows({
    context,
    view,
    replica,
    onRows: applyRows,
    isStoreConnected
  })
  const home = createBackendDispatcher({
    context,
    view,
    instance,
    backend,
    onChange: () => { record.update() },
    onColdUnknown: () => { instanceWatch.update() }
  })
  const record = createOwnRecord({ context, view, instance, recorder, isVersionCut: home.isVersionCircuitOpen })
  const instanceWatch = createInstanceProber({
    context,
    instance,
    getHealthPath: () => view.getService(settings.service)?.healthPath,
    countSends: home.countSends,
    onChange: () => {
      record.update()
      home.update()
    }
  })
  const homeServer = createForwardingServer(context, home, () => peerRows.getVersions())
  const client = createForwardingClient(context, health, peerRows)
  const budgets = createRetryBudgets(context, () =>
    cursors.get(MESH_TABLE) === undefined ? undefined : view.listHosts().length)
  const start = createExchange({
    context,
    dispatcher: home,
    client,
    retryBudgets: budgets,
    finder: createCandidateFinder(context, view, health),
    loadBalancer: createLoadBalancer(draw)
  })
  const entry = createEntryServer({ context, view, startExchange: start, retryBudgets: budgets })
  const reports = createReportServer({
    context,
    instance,
    countSends: home.countSends,
    onChange: () => {
      record.update()
      instanceWatch.update()
      home.update()
    }
  })
  const loadLog = createLoadLog(context, entry, home)
  const keeper = createRolloutKeeper({
    context, view, replica, store, health, onRows: applyRows, getStoreTime
  })
  const peers = createPeerServer({ replica, cursors, isStoreConnected: isReader, getStoreTime })
  const readiness = createServer((_, response) => {
    const isReady = !isStopping && view.getConfiguration() !== undefined
    response.writeHead(isReady ? 200 : 503, { 'content-length': 0 }).end()
  })
  const metrics = createServer((_, response) => {
    response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(counters.format())
  })
  let isStopping = false
  let isProbed = false

  /** A restarted node need not wait for a report if the backend server on record still answers. */
  async function probeOnce (): Promise<void> {
    const known = view.getHost(settings.host)
    const path = view.getService(settings.service)?.healthPath
    if (isProbed || known === undefined || path === undefined || instance.getRun() !== undefined) return
    isProbed = true
    if (!known.serving || known.service !== settings.service) return
    const probed = await probeInstance(settings.backend, path)
    log('instanceResumed', { ...probed, expected: known.instance })
    if (probed?.instance !== known.instance || !probed.isHealthy) return
    const { startedAt, sequence, version, slots } = known
    const run = { instance: known.instance, startedAt, sequence, version, slots, state: 'serving' } as const
    if (instance.resume(run, probed.coldMs, clock.now())) home.update()
  }

  async function awaitEnd (isOver: () => boolean, limitAt: number): Promise<void> {
    while (!isOver() && clock.now() < limitAt) await new Promise((resolve) => { setTimeout(resolve, STOP_POLL_MS) })
  }

  return {
    start: async () => {
      for (const follower of followers) follower.start()
      reader.start()
      peerRows.start()
      keeper.start()
      loadLog.start()
      await Promise.all([
        listen(entry.server, settings.callers),
        listen(homeServer.server, settings.requests),
        listen(readiness, settings.readiness),
        listen(reports, settings.reports),
        listen(peers, settings.peers),
        listen(metrics, settings.metrics)
      ])
      log('daemonStarted', { service: settings.service, listen: formatAddress(settings.callers) })
    },
    stop: async () => {
      isStopping = true
      const stoppedAt = clock.now()
      log('daemonStopping', { open: entry.countOpen(), running: home.countOpen() })
      const limitAt = stoppedAt + Math.max(0, settings.gracePeriodMs - EXIT_RESERVE_MS)
      const answeredAt = toMilliseconds(limitAt - LAST_ANSWERS_MS)
      entry.stop({ lateFrom: addMilliseconds(stoppedAt, LINGER_MS), answerBy: answeredAt })
      keeper.stop()
      loadLog.stop()
      // A backend server that still runs may outlive this process; the next one has to know that it leaves.
      if (instance.getRun()?.state === 'gone' || instance.isDown()) recorder.set(undefined)
      await awaitEnd(() => false, Math.min(limitAt, stoppedAt + HOME_LINGER_MS))
      home.stop()
      home.update()
      await awaitEnd(() => false, Math.min(limitAt, stoppedAt + LINGER_MS))
      // What the backend server still runs may make calls.
      await awaitEnd(() => home.countOpen() === 0, answeredAt)
      entry.server.close()
      const isIdle = (): boolean =>
        entry.countOpen() === 0 && home.countOpen() === 0 && homeServer.countUnsentBytes() === 0
      await awaitEnd(isIdle, answeredAt)
      entry.endOpenRequests()
      await awaitEnd(isIdle, limitAt)
      for (const follower of followers) follower.stop()
      reader.stop()
      for (const part of [peerRows, client, health, instanceWatch, homeServer]) part.close()
      await recorder.flush(Math.min(RECORD_FLUSH_MS, Math.max(0, limitAt - clock.now())))
      log('daemonStopped', { open: entry.countOpen(), running: home.countOpen(), tookMs: Math.round(clock.now() - stoppedAt) })
    }
  }
}
