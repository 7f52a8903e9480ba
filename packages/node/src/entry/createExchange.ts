import type { MeshRoute, Milliseconds, ServingRefusalReason } from '@snipenotch/contracts'
import type { LoadBalancer } from '@snipenotch/decisions'
import type { NodeContext } from '../NodeContext.js'
import type { BackendDispatcher } from '../home/createBackendDispatcher.js'
import { FIRST_FAILURE_STATUS, type BackendJob, type JobOutcome } from '../home/BackendJob.js'
import { LARGE_BODY_BYTES } from '../peers/LinkMessage.js'
import type { Candidate, CandidateFinder } from './createCandidateFinder.js'
import type { HomeClient } from './createHomeClient.js'
import type { ResendBudgets } from './createResendBudgets.js'

/** Tries of one request at nodes that refuse it before it reaches a backend server. */
const MAX_PLACEMENTS = 6
/** Busy hosts after which the rest of them are not asked, of few hosts and at most; each costs a hop. */
const MIN_BUSY_REFUSALS = 2
const MAX_BUSY_REFUSALS = 4
/** Hosts of a service for each busy one that is asked. */
const HOSTS_PER_BUSY_REFUSAL = 5
/** Time for which a host that refused gets nothing from here, by reason, in milliseconds. */
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
/** Wait named to a caller whose service has no host that takes requests, in milliseconds: part of a report interval. */
const NO_HOST_WAIT_MS = 400
/** Time that must be left for another try, as a share of the route's target latency. */
const MIN_RESEND_SHARE = 0.3

/** How a request ended at the node that its caller is connected to. */
export interface ExchangeResult {
  readonly outcome: JobOutcome
  readonly host: string | undefined
  /** Backend servers that the request reached, or may have reached. */
  readonly tries: number
}

export interface ExchangeRequest {
  readonly route: MeshRoute
  readonly service: string
  readonly attemptId: string
  readonly method: string
  readonly target: string
  readonly headers: readonly string[]
  readonly body: Buffer
  /** Counted from the first attempt of the caller, as far as it is known. */
  readonly targetAt: Milliseconds
  readonly endAt: Milliseconds
}

/** A request on its way; `cancel` ends it because the caller has left or its time is over. */
export interface Exchange {
  /** True if the request has certainly not run and will not. */
  readonly cancel: () => boolean
  /** Host that has the request now; undefined between two tries. */
  readonly getHost: () => string | undefined
}

export interface ExchangeOptions {
  readonly context: NodeContext
  readonly home: BackendDispatcher
  readonly client: HomeClient
  readonly finder: CandidateFinder
  readonly placement: LoadBalancer
  readonly budgets: ResendBudgets
}

/** Function that places a request, and places it again where that is allowed, until there is an outcome. */
export type StartExchange = (request: ExchangeRequest, onResult: (result: ExchangeResult) => void) => Exchange

/** Creates the placing of requests of a node. */
export function createExchange ({ context, home, client, finder, placement, budgets }: ExchangeOptions): StartExchange {
  const { settings, clock, log, counters } = context

  function computeBusyLimit (service: string): number {
    const share = finder.count(service) / HOSTS_PER_BUSY_REFUSAL
    return Math.min(MAX_BUSY_REFUSALS, Math.max(MIN_BUSY_REFUSALS, Math.floor(share)))
  }

  return (request, onResult) => {
    const { route, service, endAt } = request
    const tried = new Set<string>()
    const version = finder.drawVersion(service)
    let placements = 0
    let tries = 0
    let isCancelled = false
    let current: BackendJob | undefined
    let currentHost: string | undefined
    /** Shortest wait that a host named. */
    let waitMs = Infinity
    let lastRefusal: ServingRefusalReason = 'no-host'
    let busyRefusals = 0
    /** Latest end of a try that ran, or may have. */
    let ran: { readonly outcome: JobOutcome, readonly host: string } | undefined

    function end (outcome: JobOutcome, host: string | undefined): void {
      current = undefined
      currentHost = undefined
      onResult({ outcome, host, tries })
    }

    function createJob (candidate: Candidate): BackendJob {
      return {
        // A silent host has not ended its try, so it counts here.
        takeRetry: () => takeResend(candidate, 'lost', tries + 1),
        attemptId: request.attemptId,
        service,
        callerService: settings.service,
        isInternal: false,
        isBodyFetched: false,
        route: route.name,
        priority: route.priority,
        idempotent: route.idempotent,
        method: request.method,
        target: request.target,
        headers: request.headers,
        body: request.body,
        arrivedAt: clock.now(),
        targetAt: request.targetAt,
        endAt,
        targetLatencyMs: route.targetLatencyMs
      }
    }

    /** The request has not run: any other host may take it, without drawing on a budget. */
    function handleRefusal (candidate: Candidate, reason: ServingRefusalReason, wait: number): void {
      lastRefusal = reason
      if (reason === 'busy' || reason === 'expired') waitMs = Math.min(waitMs, wait)
      if (reason === 'busy') busyRefusals += 1
      const avoidMs = AVOID_MS[reason]
      if (avoidMs !== undefined) placement.avoid(candidate.host, avoidMs, clock.now())
      if (reason === 'expired' || busyRefusals >= computeBusyLimit(service)) {
        refuse()
        return
      }
      place()
    }

    /** Ends a request that no host takes any more; one that may have run before is not said not to have. */
    function refuse (): void {
      if (ran !== undefined) {
        end(ran.outcome, ran.host)
        return
      }
      const knownWaitMs = Number.isFinite(waitMs) ? waitMs : NO_HOST_WAIT_MS
      end({ kind: 'refused', reason: lastRefusal, waitMs: knownWaitMs }, undefined)
    }

    /** Takes one more try, after `made` of them, from the budget if there is time, a host and a right to it. */
    function takeResend (candidate: Candidate, reason: 'not-run' | 'failed' | 'lost', made: number): boolean {
      if (reason !== 'not-run' && !route.idempotent) return false
      if (made >= route.maxAttempts || placements >= MAX_PLACEMENTS) return false
      if (endAt - clock.now() < route.targetLatencyMs * MIN_RESEND_SHARE) return false
      if (finder.find(service, version, 0, tried).length === 0) return false
      if (!budgets.take(service)) {
        counters.count('serving_resends', 'budget-spent')
        return false
      }
      counters.count('serving_resends', reason)
      log('requestResent', {
        request: request.attemptId, route: route.name, reason, backendHost: candidate.host, tries: made
      })
      return true
    }

    /** The request reached a backend server: another one may take it, if it may run again or did not run. */
    function isResent (candidate: Candidate, outcome: JobOutcome): boolean {
      if (outcome.kind === 'refused') return false
      if (outcome.kind === 'lost') return outcome.reason === 'host-silent' || takeResend(candidate, 'lost', tries)
      if (outcome.notRun) return takeResend(candidate, 'not-run', tries)
      return outcome.status >= FIRST_FAILURE_STATUS && takeResend(candidate, 'failed', tries)
    }

    function handleOutcome (candidate: Candidate, outcome: JobOutcome): void {
      placement.recordEnd(candidate.host, outcome.load, clock.now())
      if (isCancelled) return
      if (outcome.kind === 'refused') {
        handleRefusal(candidate, outcome.reason, outcome.waitMs)
        return
      }
      tries += 1
      const isNotRun = outcome.kind === 'answered' && outcome.notRun
      if (!isNotRun) ran = { outcome, host: candidate.host }
      if (isResent(candidate, outcome)) place()
      else if (ran === undefined) end(outcome, candidate.host)
      else end(ran.outcome, ran.host)
    }

    function place (): void {
      const bytes = request.body.length
      const candidates = placements < MAX_PLACEMENTS ? finder.find(service, version, bytes, tried) : []
      if (candidates.some(({ host }) => host === settings.host)) {
        placement.recordLoad(settings.host, home.getLoad(), clock.now())
      }
      const asked = { targetLatencyMs: route.targetLatencyMs, hasLargeBody: bytes > LARGE_BODY_BYTES }
      const chosen = placement.choose(candidates, asked, clock.now())
      const candidate = candidates.find(({ host }) => host === chosen?.host)
      if (candidate === undefined) {
        refuse()
        return
      }
      placements += 1
      tried.add(candidate.host)
      placement.recordSend(candidate.host)
      const job = createJob(candidate)
      current = job
      currentHost = candidate.host
      const handle = (outcome: JobOutcome): void => { handleOutcome(candidate, outcome) }
      if (candidate.host === settings.host) home.run(job, handle)
      else client.send(job, candidate.record, handle)
    }

    place()
    return {
      cancel: () => {
        if (isCancelled || current === undefined) return tries === 0
        isCancelled = true
        const isNotRun = current.cancel?.() ?? false
        // A cancelled job has no outcome, so its load is given back here.
        if (currentHost !== undefined) placement.recordEnd(currentHost, undefined, clock.now())
        return isNotRun && tries === 0
      },
      getHost: () => currentHost
    }
  }
}
