import type { MeshRoute, MeshTeam, Milliseconds, ServingRefusalReason } from '@snipenotch/contracts'
import { createResponseSizes, type EvidenceReport, type LoadBalancer } from '@snipenotch/decisions'
import type { NodeContext } from '../NodeContext.js'
import type { BackendDispatcher } from '../home/createBackendDispatcher.js'
import { FIRST_FAILURE_STATUS, type BackendJob, type JobOutcome } from '../home/BackendJob.js'
import { runContained } from '../operations/runContained.js'
import { LARGE_BODY_BYTES } from '../peers/ForwardingMessage.js'
import type { Candidate, CandidateFinder, RequestBytes } from './createCandidateFinder.js'
import type { ForwardingClient } from './createForwardingClient.js'
import type { RetryBudgets } from './createRetryBudgets.js'
import type { RolloutTraffic } from './createRolloutTraffic.js'

/** Maximum number of hosts that one request is sent to, including those that refuse it. */
const MAX_HOSTS_ASKED = 6
/** Bounds of the number of busy refusals after which no further host is asked; each attempt costs a network hop. */
const MIN_BUSY_REFUSALS = 2
const MAX_BUSY_REFUSALS = 4
/** Number of hosts of a service for each busy refusal that is allowed, within the bounds above. */
const HOSTS_PER_BUSY_REFUSAL = 5
/** Time for which this node avoids a host that refused a request, by reason, in milliseconds. */
const AVOID_MS: Partial<Record<ServingRefusalReason, number>> = {
  stopping: 1000,
  'instance-draining': 1000,
  'instance-unknown': 300,
  'instance-down': 300,
  'wrong-service': 1000,
  'version-not-allowed': 500,
  'version-cut': 500,
  evacuated: 500
}
/** Retry delay if no host of the service accepts requests, in milliseconds: a fraction of the report interval. */
const NO_HOST_WAIT_MS = 400
/**
 * Number of runs of one request whose responses were lost after which it is not sent again: a request that crashes
 * backend servers must not crash all of them in one attempt.
 */
const MAX_LOST_RUNS = 2
/** Outcome of an attempt whose handling failed: it may have run. */
const INTERNAL_ERROR: JobOutcome = { kind: 'lost', reason: 'internal-error' }
/** Minimum remaining time for a retry, as a share of the route's target latency. */
const MIN_RETRY_TIME_SHARE = 0.3

/** Final result of a request at the node that its caller is connected to. */
export interface ExchangeResult {
  readonly outcome: JobOutcome
  /** Host of the outcome; undefined if no host accepted the request. */
  readonly host: string | undefined
  /** Number of backend servers that the request reached, or may have reached. */
  readonly tries: number
}

/** A caller's request with its route and deadlines. */
export interface ExchangeRequest {
  readonly route: MeshRoute
  readonly service: string
  /** Team whose key the request carried; undefined if it needs none. */
  readonly team?: MeshTeam | undefined
  readonly attemptId: string
  readonly method: string
  readonly target: string
  readonly headers: readonly string[]
  readonly body: Buffer
  /** Time by which the target latency is met, counted from the caller's first attempt as far as that is known. */
  readonly targetAt: Milliseconds
  /** Deadline of the request. */
  readonly deadlineAt: Milliseconds
}

/** A request in progress. */
export interface Exchange {
  /**
   * Cancels the request because the caller has disconnected or the deadline has passed; true if it certainly has not
   * run and will not run. To be called once only: a second call may return true although the first returned false.
   */
  readonly cancel: () => boolean
  /** Host that the request was last sent to; undefined once there is a final result. */
  readonly getHost: () => string | undefined
}

/** Options of `createExchange`. */
export interface ExchangeOptions {
  readonly context: NodeContext
  readonly dispatcher: BackendDispatcher
  readonly client: ForwardingClient
  readonly finder: CandidateFinder
  readonly loadBalancer: LoadBalancer
  readonly retryBudgets: RetryBudgets
  readonly rolloutTraffic: Pick<RolloutTraffic, 'record'>
  /** Called with what another node reports on a version under rollout. */
  readonly onEvidence: (service: string, host: string, report: EvidenceReport) => void
  /** Called with each outcome of an attempt. */
  readonly onOutcome?: (route: string, host: string, outcome: JobOutcome) => void
}

/** Sends a request to a host, and to further hosts where a retry is allowed, until there is a final result. */
export type StartExchange = (request: ExchangeRequest, onResult: (result: ExchangeResult) => void) => Exchange

/** Creates the function that starts exchanges on a node. */
export function createExchange (
  {
    context, dispatcher, client, finder, loadBalancer, retryBudgets, rolloutTraffic, onEvidence, onOutcome
  }: ExchangeOptions
): StartExchange {
  const { settings, clock, log, counters } = context
  const responseSizes = createResponseSizes()

  function computeBusyLimit (service: string): number {
    const share = finder.count(service) / HOSTS_PER_BUSY_REFUSAL
    return Math.min(MAX_BUSY_REFUSALS, Math.max(MIN_BUSY_REFUSALS, Math.floor(share)))
  }

  return (request, onResult) => {
    const { route, service, deadlineAt } = request
    const tried = new Set<string>()
    let version = finder.drawVersion(service)
    let hostsAsked = 0
    let tries = 0
    let isCancelled = false
    let current: BackendJob | undefined
    let currentHost: string | undefined
    /** Shortest wait reported by a refusing host, in milliseconds. */
    let waitMs = Infinity
    let lastRefusal: ServingRefusalReason = 'no-host'
    let busyRefusals = 0
    let lostRuns = 0
    /** Latest outcome of an attempt that ran, or may have run. */
    let lastRun: { readonly outcome: JobOutcome, readonly host: string } | undefined

    const getBytes = (): RequestBytes => ({ request: request.body.length, response: responseSizes.get(route.name) })

    function end (outcome: JobOutcome, host: string | undefined): void {
      current = undefined
      currentHost = undefined
      onResult({ outcome, host, tries })
    }

    function createJob (candidate: Candidate): BackendJob {
      return {
        // The attempt at a silent host has not ended, so it is not yet included in `tries`.
        takeRetry: () => takeRetryPermission(candidate, 'lost', tries + 1),
        attemptId: request.attemptId,
        service,
        callerService: settings.service,
        isInternal: false,
        isBodyFetched: false,
        route: route.name,
        priority: request.team?.priority ?? route.priority,
        team: request.team?.name,
        idempotent: route.idempotent,
        method: request.method,
        target: request.target,
        headers: request.headers,
        body: request.body,
        arrivedAt: clock.now(),
        targetAt: request.targetAt,
        deadlineAt,
        targetLatencyMs: route.targetLatencyMs
      }
    }

    /** Handles a refusal: the request has not run, so any other host may run it without using the retry budget. */
    function handleRefusal (candidate: Candidate, reason: ServingRefusalReason, wait: number): void {
      lastRefusal = reason
      if (reason === 'busy' || reason === 'expired' || reason === 'crash-suspect') waitMs = Math.min(waitMs, wait)
      if (reason === 'busy') busyRefusals += 1
      const avoidMs = AVOID_MS[reason]
      if (avoidMs !== undefined) loadBalancer.avoid(candidate.host, avoidMs, clock.now())
      // The nodes of a service agree on malformed requests, and on those that crash their backend servers.
      const isFinal = reason === 'expired' || reason === 'crash-suspect' || reason === 'malformed'
      if (isFinal || busyRefusals >= computeBusyLimit(service)) {
        refuse()
        return
      }
      sendToNextHost()
    }

    /**
     * Ends a request that no further host accepts. One that may have run gets the outcome of that run, not a refusal.
     */
    function refuse (): void {
      if (lastRun !== undefined) {
        end(lastRun.outcome, lastRun.host)
        return
      }
      const reportedWaitMs = Number.isFinite(waitMs) ? waitMs : NO_HOST_WAIT_MS
      end({ kind: 'refused', reason: lastRefusal, waitMs: reportedWaitMs }, undefined)
    }

    /**
     * Takes a retry from the budget if the route, the remaining time and the available hosts allow one after
     * `attemptsMade`.
     */
    function takeRetryPermission (
      candidate: Candidate, reason: 'not-run' | 'failed' | 'lost', attemptsMade: number
    ): boolean {
      if (reason !== 'not-run' && !route.idempotent) return false
      if (lostRuns >= MAX_LOST_RUNS) return false
      if (attemptsMade >= route.maxAttempts || hostsAsked >= MAX_HOSTS_ASKED) return false
      if (deadlineAt - clock.now() < route.targetLatencyMs * MIN_RETRY_TIME_SHARE) return false
      if (finder.find(service, version, getBytes(), tried).length === 0) return false
      if (!retryBudgets.take(service)) {
        counters.count('serving_resends', 'budget-spent')
        return false
      }
      counters.count('serving_resends', reason)
      log('requestResent', {
        request: request.attemptId, route: route.name, reason, backendHost: candidate.host, tries: attemptsMade
      })
      return true
    }

    /**
     * Takes a retry after an outcome, if the request did not run or may run again; true if the request may be retried.
     * For `host-silent`, the forwarding client has already taken the retry with `takeRetry`.
     */
    function takeRetryAfter (candidate: Candidate, outcome: JobOutcome): boolean {
      if (outcome.kind === 'refused') return false
      if (outcome.kind === 'lost') return outcome.reason === 'host-silent' || takeRetryPermission(candidate, 'lost', tries)
      if (outcome.notRun) return takeRetryPermission(candidate, 'not-run', tries)
      return outcome.status >= FIRST_FAILURE_STATUS && takeRetryPermission(candidate, 'failed', tries)
    }

    function handleOutcome (candidate: Candidate, outcome: JobOutcome): void {
      loadBalancer.recordEnd(candidate.host, outcome.load, clock.now())
      if (outcome.evidence !== undefined && candidate.host !== settings.host) {
        onEvidence(service, candidate.host, outcome.evidence)
      }
      onOutcome?.(route.name, candidate.host, outcome)
      if (isCancelled) return
      if (outcome.kind === 'refused') {
        handleRefusal(candidate, outcome.reason, outcome.waitMs)
        return
      }
      tries += 1
      if (outcome.kind === 'answered') responseSizes.record(route.name, outcome.body.length)
      if (outcome.kind === 'lost') lostRuns += 1
      const isNotRun = outcome.kind === 'answered' && outcome.notRun
      if (!isNotRun) lastRun = { outcome, host: candidate.host }
      version = finder.getRetryVersion(service)
      if (takeRetryAfter(candidate, outcome)) sendToNextHost()
      else if (lastRun === undefined) end(outcome, candidate.host)
      else end(lastRun.outcome, lastRun.host)
    }

    function sendToNextHost (): void {
      const bytes = getBytes()
      const candidates = hostsAsked < MAX_HOSTS_ASKED ? finder.find(service, version, bytes, tried) : []
      if (candidates.some(({ host }) => host === settings.host)) {
        loadBalancer.recordLoad(settings.host, dispatcher.getLoad(), clock.now())
      }
      const requirements = {
        targetLatencyMs: route.targetLatencyMs,
        hasLargeBody: bytes.request > LARGE_BODY_BYTES,
        hasLargeResponse: bytes.response > LARGE_BODY_BYTES
      }
      const chosen = loadBalancer.choose(candidates, requirements, clock.now())
      const candidate = candidates.find(({ host }) => host === chosen?.host)
      if (candidate === undefined) {
        refuse()
        return
      }
      hostsAsked += 1
      tried.add(candidate.host)
      loadBalancer.recordSend(candidate.host)
      rolloutTraffic.record(service, candidate.record.version, version)
      const job = createJob(candidate)
      current = job
      currentHost = candidate.host
      let hasOutcome = false
      const handleOnce = (outcome: JobOutcome): void => {
        if (hasOutcome) return
        hasOutcome = true
        runContained(context, () => { handleOutcome(candidate, outcome) }, () => {
          end(INTERNAL_ERROR, candidate.host)
        }, { request: request.attemptId })
      }
      runContained(context, () => {
        if (candidate.host === settings.host) dispatcher.run(job, handleOnce)
        else client.send(job, candidate.record, handleOnce)
      }, () => { handleOnce(INTERNAL_ERROR) }, { request: request.attemptId })
    }

    sendToNextHost()
    return {
      cancel: () => {
        if (isCancelled || current === undefined) return tries === 0
        isCancelled = true
        const isNotRun = current.cancel?.() ?? false
        // A cancelled job reports no outcome, so its load is released here.
        if (currentHost !== undefined) loadBalancer.recordEnd(currentHost, undefined, clock.now())
        return isNotRun && tries === 0
      },
      getHost: () => currentHost
    }
  }
}
