import type { EvidenceReport, RouteEvidence } from '@snipenotch/decisions'

/** Most routes of a report that are read; a service has a few. */
const MAX_ROUTES = 64
/** Decimals of the sums of logarithms. */
const LOG_PRECISION = 1000

const computeRounded = (value: number): number => Math.round(value * LOG_PRECISION) / LOG_PRECISION

/** Encodes a report as a list of its fields, in order. */
export function encodeEvidence ({ order, version, run, isCut, routes }: EvidenceReport): unknown[] {
  const encodedRoutes = [...routes].map(([route, { requests, failures, slow, timed, logSum, logSquareSum }]) =>
    [route, requests, failures, slow, timed, computeRounded(logSum), computeRounded(logSquareSum)])
  return [order, version, run, isCut, encodedRoutes]
}

const isCount = (value: unknown): value is number => typeof value === 'number' && Number.isFinite(value) && value >= 0

function decodeRoute (encoded: unknown): [string, RouteEvidence] | undefined {
  if (!Array.isArray(encoded)) return undefined
  const [route, ...counts] = encoded as unknown[]
  if (typeof route !== 'string' || counts.length < 6 || !counts.every(isCount)) return undefined
  const [requests = 0, failures = 0, slow = 0, timed = 0, logSum = 0, logSquareSum = 0] = counts
  if (failures > requests || slow > requests || timed > requests) return undefined
  return [route, { requests, failures, slow, timed, logSum, logSquareSum }]
}

/** Decodes a report; without one, or if it is malformed, the result is empty. */
export function decodeEvidence (encoded: unknown): { evidence?: EvidenceReport } {
  if (!Array.isArray(encoded)) return {}
  const [order, version, run, isCut, encodedRoutes] = encoded as unknown[]
  if (!isCount(order) || typeof version !== 'string' || !isCount(run) || !Array.isArray(encodedRoutes)) return {}
  const routes = encodedRoutes.slice(0, MAX_ROUTES).map(decodeRoute)
  if (!routes.every((route) => route !== undefined)) return {}
  return { evidence: { order, version, run, isCut: isCut === true, routes: new Map(routes) } }
}
