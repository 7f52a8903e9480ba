import { addMilliseconds, type NodeSettings, toMilliseconds } from '@snipenotch/contracts'
import { createInstanceLoadTracker, createInstanceState, createLoadBalancer, createReplica, createVersionEvidence, isRevocationKnown, type ReplicaRow } from '@snipenotch/decisions'
import { createStoreClient, OPERATOR_TABLE } from '@snipenotch/platform'
import type { Server } from 'node:http'
import { createUsagePart } from './duty/createUsagePart.js'
import { createBackpressure } from './entry/createBackpressure.js'
import { createCandidateFinder } from './entry/createCandidateFinder.js'
import { createEntryServer } from './entry/createEntryServer.js'
import { createExchange } from './entry/createExchange.js'
import { createForwardingClient } from './entry/createForwardingClient.js'
import { createRetryBudgets } from './entry/createRetryBudgets.js'
import { createRolloutTraffic } from './entry/createRolloutTraffic.js'
import { createBackendClient } from './home/createBackendClient.js'
import { createBackendDispatcher } from './home/createBackendDispatcher.js'
import { createCrashGuard } from './home/createCrashGuard.js'
import { createEvidenceLogger } from './home/createEvidenceLogger.js'
import { createInstanceProber } from './home/createInstanceProber.js'
import { createForwardingServer } from './home/createForwardingServer.js'
import { createRecordProbe } from './home/createRecordProbe.js'
import type { NodeContext } from './NodeContext.js'
import { createConnectionLimiter } from './operations/createConnectionLimiter.js'
import { createLoadLogger } from './operations/createLoadLogger.js'
import { type CopyOverview, formatCopyMetrics } from './operations/describeCopies.js'
import { createReportServer } from './operations/createReportServer.js'
import { createStateServers } from './operations/createStateServers.js'
import { createRolloutController } from './operations/createRolloutController.js'
import { createHostHealth } from './peers/createHostHealth.js'
import { createPeerServer } from './peers/createPeerServer.js'
import { createSuspectExchange } from './peers/createSuspectExchange.js'
import { formatAddress } from './peers/parseAddress.js'
import { createCopyAges } from './rows/createCopyAges.js'
import { createHostRecordWriter } from './rows/createHostRecordWriter.js'
import { createLostRowPruner } from './rows/createLostRowPruner.js'
import { createMeshView } from './rows/createMeshView.js'
import { createHostRecordPublisher } from './rows/createHostRecordPublisher.js'
import { createPeerRowFetcher } from './rows/createPeerRowFetcher.js'
import { createReaderFollower } from './rows/createReaderFollower.js'
import { createStoreEra } from './rows/createStoreEra.js'
import { createTableFollower } from './rows/createTableFollower.js'
import { createTableCursors } from './rows/createTableCursors.js'
import { FOLLOWED_TABLES, MESH_TABLE } from './rows/TABLES.js'

/** The node process's components, wired together. */
export interface MeshNode {
  /** Starts all servers and followers; resolves when every port listens. */
  readonly start: () => Promise<void>
  /** Drains open requests and resolves when the process may exit. */
  readonly stop: () => Promise<void>
}

/**
 * Time for which callers may still open connections after the stop signal, in milliseconds: two failed readiness
 * checks.
 */
const CALLER_LINGER_MS = 2300
/**
 * Time for which the backend server still gets requests after the stop signal, in milliseconds; they end in the
 * remaining grace period.
 */
const BACKEND_LINGER_MS = 1700
/** Part at the end of the grace period that is reserved for the exit of the process, in milliseconds. */
const EXIT_RESERVE_MS = 300
/** Time reserved for sending the responses that are given because the grace period ends, in milliseconds. */
const LAST_RESPONSES_MS = 150
/** Longest time for accepting the connections that wait when the server of callers closes, in milliseconds. */
const ACCEPT_LIMIT_MS = 250
/** Time in which the other nodes read the last outcomes and close their connections, in milliseconds. */
const LINK_CLOSE_MS = 1000
/** Number of missed status reports after which the backend server is probed. */
const MAX_MISSED_REPORTS = 3
/** Upper bound of the numbers that distinguish the processes of a node. */
const MAX_RUN_NUMBER = 2 ** 31
/** Interval at which the shutdown checks whether all requests have ended, in milliseconds. */
const STOP_POLL_MS = 25
/** Longest time for removing the host's record if its backend server is gone, in milliseconds. */
const RECORD_FLUSH_MS = 500

function listen (server: Server, address: NodeSettings['callers']): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(address.port, address.host, 1024, resolve)
  })
}

/** Creates a node; no port is opened before `start`. */
export function createNode (context: NodeContext): MeshNode {
  const { settings, clock, log, counters, random } = context
  const storeEra = createStoreEra(context)
  const store = createStoreClient(settings.store, storeEra)
  const replica = createReplica()
  const instance = createInstanceState({
    statusLifetimeMs: settings.reportIntervalMs * MAX_MISSED_REPORTS, requiresConfirmation: true
  })
  const instanceLoads = createInstanceLoadTracker()
  const backend = createBackendClient(context, (load, inFlight) => {
    instanceLoads.record(load, inFlight, clock.now())
  })
  const health = createHostHealth(context, { getHost: (host) => view.getHost(host) })
  const view = createMeshView(context, () => {
    entryServer.updateLimits()
    applyRecordedCuts()
    recordPublisher.applyRecordedDrain()
    dispatcher.update()
    recordProbe.probe().catch((error: unknown) => { log('internalError', { error: String(error) }) })
  })
  const evidence = createVersionEvidence({
    run: Math.floor(random() * MAX_RUN_NUMBER),
    onProven: () => { recordPublisher.update() },
    onCut: (service, version, { reason }) => {
      log('versionCutOff', { service, version, reason })
      recordPublisher.update()
      dispatcher.update()
    }
  })

  /** Cuts the versions that another node, or an earlier process of this one, has cut in the course of their rollout. */
  function applyRecordedCuts (): void {
    for (const { host, service, version, versionCut, cutOrder } of view.listHosts()) {
      const release = versionCut ? view.getRelease(service) : undefined
      if (release?.rollout?.to !== version) continue
      // Nodes of earlier builds do not record the order.
      if (cutOrder !== 0 && cutOrder !== release.rollout.order) continue
      evidence.markCut(release, `${host} has recorded that it cut the version`)
    }
  }

  const applyRows = (rows: readonly ReplicaRow[]): void => { view.apply(rows) }
  const cursors = createTableCursors()
  const recordWriter = createHostRecordWriter({ context, store, replica, cursors, onRows: applyRows })
  createLostRowPruner({ context, storeEra, replica, cursors, onRows: applyRows })
  const copyAges = createCopyAges(clock)
  const getStoreTime = (): number | undefined => followers[0]?.getStoreTime()
  const copyOptions = { context, replica, cursors, copyAges, storeEra, onRows: applyRows }
  const reader = createReaderFollower({
    ...copyOptions, view, health, onStoreTime: (storeTime) => { followers[0]?.setStoreTime(storeTime) }
  })
  const followers = FOLLOWED_TABLES.map((table) => createTableFollower({
    ...copyOptions, store, table, isSuppliedByPeer: reader.isFollowing, getReader: reader.getReader
  }))
  const isStoreConnected = (): boolean =>
    reader.isFollowing() || followers.every((follower) => follower.isConnected())
  // While stopping, the node reports itself as disconnected, so that its followers choose another reader in time.
  const isReader = (): boolean => !isStopping && isStoreConnected()
  const peerRowFetcher = createPeerRowFetcher({
    context,
    view,
    replica,
    storeEra,
    onRows: applyRows,
    isStoreConnected
  })
  const crashGuard = createCrashGuard({
    context,
    view,
    onFinding: () => { suspectExchange.broadcast() },
    onChange: () => { dispatcher.update() }
  })
  const suspectExchange = createSuspectExchange({
    context,
    view,
    composeReport: crashGuard.composeReport,
    applyReport: crashGuard.applyReport,
    hasSuspects: crashGuard.hasSuspects
  })
  const backpressure = createBackpressure(context)
  const dispatcher = createBackendDispatcher({
    context,
    view,
    instance,
    backend,
    instanceLoads,
    crashGuard,
    calls: backpressure.calls,
    evidence,
    onChange: () => { recordPublisher.update() },
    onColdUnknown: () => { instanceProber.update() },
    onRun: ({ team }, sentAt) => usageDuty?.count(team, sentAt)
  })
  const recordPublisher = createHostRecordPublisher({
    context, view, instance, recordWriter, evidence
  })
  const instanceProber = createInstanceProber({
    context,
    instance,
    getHealthPath: () => view.getService(settings.service)?.healthPath,
    countSends: dispatcher.countSends,
    onChange: () => {
      recordPublisher.update()
      dispatcher.update()
    },
    onRefused: () => { dispatcher.handleRefusedConnection('health probe refused') }
  })
  const forwardingServer = createForwardingServer(context, dispatcher, () => peerRowFetcher.getVersions())
  const forwardingClient = createForwardingClient(context, health, peerRowFetcher)
  const retryBudgets = createRetryBudgets(context, () =>
    cursors.get(MESH_TABLE) === undefined ? undefined : view.listHosts().length)
  const stopEvidenceLog = createEvidenceLogger(context, view, evidence)
  const rolloutTraffic = createRolloutTraffic(context, view)
  const startExchange = backpressure.attach(createExchange({
    context,
    dispatcher,
    client: forwardingClient,
    retryBudgets,
    rolloutTraffic,
    onEvidence: (service, host, report) => {
      const release = view.getRelease(service)
      if (release !== undefined) evidence.merge(release, host, report)
    },
    onOutcome: backpressure.recordOutcome,
    finder: createCandidateFinder(context, view, health, evidence),
    loadBalancer: createLoadBalancer(random)
  }))
  const entryServer = createEntryServer({
    context,
    view,
    startExchange,
    retryBudgets,
    getCopyAgeMs: () => copyAges.get(OPERATOR_TABLE),
    isRevocationKnown: () =>
      !settings.failClosed || isRevocationKnown(copyAges.getProven(OPERATOR_TABLE), settings.revocationMs)
  })
  const recordProbe = createRecordProbe({ context, view, instance, recordWriter, onResumed: dispatcher.update })
  const reportServer = createReportServer({
    context,
    instance,
    countSends: dispatcher.countSends,
    onChange: () => {
      recordPublisher.update()
      instanceProber.update()
      dispatcher.update()
    }
  })
  const copies: CopyOverview = {
    cursors, copyAges, getConfiguration: view.getConfiguration, getReader: reader.getReader
  }
  const loadLogger = createLoadLogger(context, entryServer, dispatcher, copies)
  const rolloutController = createRolloutController({
    context, view, replica, cursors, store, health, evidence, onRows: applyRows, getStoreTime
  })
  const usageDuty = createUsagePart({
    context, view, health, store, replica, onRows: applyRows, getStoreEra: storeEra.get
  })
  const receivers = { receiveSuspects: suspectExchange.receive, receiveCounts: usageDuty?.receive }
  const peerServer = createPeerServer({
    replica, cursors, copyAges, isStoreConnected: isReader, getStoreTime, ...receivers
  })
  const isReady = (): boolean => !isStopping && view.getConfiguration() !== undefined
  const formatMetrics = (): string => [
    counters.format(), formatCopyMetrics(copies), backpressure.formatMetrics(), usageDuty?.formatMetrics() ?? ''
  ].join('')
  const { readiness, metrics } = createStateServers(isReady, formatMetrics)
  const { server: callers } = entryServer
  const nodeServers = { requests: forwardingServer.server, peers: peerServer, reports: reportServer }
  createConnectionLimiter(context).attach({ callers, ...nodeServers, readiness, metrics })
  let isStopping = false

  async function awaitEnd (isOver: () => boolean, limitAt: number): Promise<void> {
    while (!isOver() && clock.now() < limitAt) await new Promise((resolve) => { setTimeout(resolve, STOP_POLL_MS) })
  }

  /** Resolves in the event loop turn after the next, when the bytes that have arrived by now have been read. */
  function awaitRead (): Promise<void> {
    return new Promise((resolve) => { setImmediate(() => { setImmediate(resolve) }) })
  }

  /**
   * Accepts the connections that wait in the queue of the operating system, as their callers may have sent requests. A
   * turn of the event loop accepts only some of them, and closing the server resets the others.
   */
  async function acceptWaiting (limitAt: number): Promise<void> {
    let accepted: number
    do {
      accepted = entryServer.countAccepted()
      await awaitRead()
    } while (entryServer.countAccepted() > accepted && clock.now() < limitAt)
  }

  const isIdle = (): boolean =>
    entryServer.countOpen() === 0 && dispatcher.countOpen() === 0 && forwardingServer.countUnsentBytes() === 0

  /**
   * Waits until all outcomes and responses have arrived, which shows only when the other side closes its connection.
   * Requests that arrive meanwhile are refused, and their responses awaited as well.
   */
  async function awaitDelivered (limitAt: number): Promise<void> {
    const linksEndAt = Math.min(limitAt, addMilliseconds(clock.now(), LINK_CLOSE_MS))
    await awaitEnd(() => forwardingServer.countOpen() === 0, linksEndAt)
    const isDelivered = (): boolean => isIdle() && entryServer.countLingering() === 0
    do {
      await awaitEnd(isDelivered, limitAt)
      await awaitRead()
    } while (!isDelivered() && clock.now() < limitAt)
  }

  return {
    start: async () => {
      for (const follower of followers) follower.start()
      reader.start()
      peerRowFetcher.start()
      suspectExchange.start()
      rolloutController.start()
      loadLogger.start()
      usageDuty?.start()
      await Promise.all([
        listen(entryServer.server, settings.callers),
        listen(forwardingServer.server, settings.requests),
        listen(readiness, settings.readiness),
        listen(reportServer, settings.reports),
        listen(peerServer, settings.peers),
        listen(metrics, settings.metrics)
      ])
      log('daemonStarted', { service: settings.service, listen: formatAddress(settings.callers) })
    },
    stop: async () => {
      isStopping = true
      const stoppedAt = clock.now()
      log('daemonStopping', { open: entryServer.countOpen(), running: dispatcher.countOpen() })
      const limitAt = stoppedAt + Math.max(0, settings.gracePeriodMs - EXIT_RESERVE_MS)
      const answerBy = toMilliseconds(limitAt - LAST_RESPONSES_MS)
      entryServer.stop({ lateFrom: addMilliseconds(stoppedAt, CALLER_LINGER_MS), answerBy })
      rolloutController.stop()
      usageDuty?.resign()
      loadLogger.stop()
      recordProbe.removeIfEnded().catch((error: unknown) => { log('internalError', { error: String(error) }) })
      await awaitEnd(() => false, Math.min(limitAt, stoppedAt + BACKEND_LINGER_MS))
      dispatcher.stop()
      dispatcher.update()
      await awaitEnd(() => false, Math.min(limitAt, stoppedAt + CALLER_LINGER_MS))
      // Requests that the backend server still runs may make calls through this node.
      await awaitEnd(() => dispatcher.countOpen() === 0, answerBy)
      await acceptWaiting(Math.min(answerBy, addMilliseconds(clock.now(), ACCEPT_LIMIT_MS)))
      entryServer.server.close()
      await awaitEnd(isIdle, answerBy)
      // Requests that arrive from now on are refused.
      entryServer.endOpenRequests()
      forwardingServer.end()
      await awaitEnd(isIdle, limitAt)
      await awaitDelivered(limitAt)
      entryServer.closeIdle()
      await awaitRead()
      for (const follower of followers) follower.stop()
      reader.stop()
      rolloutTraffic.stop()
      stopEvidenceLog()
      backpressure.stop()
      const parts = [peerRowFetcher, suspectExchange, forwardingClient, health, instanceProber, forwardingServer]
      for (const part of [...parts, usageDuty]) part?.close()
      await recordWriter.flush(Math.min(RECORD_FLUSH_MS, Math.max(0, limitAt - clock.now())))
      entryServer.logAbandoned()
      log('daemonStopped', {
        open: entryServer.countOpen(),
        running: dispatcher.countOpen(),
        connections: entryServer.countConnections(),
        tookMs: Math.round(clock.now() - stoppedAt)
      })
    }
  }
}
