import type { Intent, RouteIntent } from '../intent/intentSchema.js'
import { digestValue } from './digestValue.js'
import type { Configuration, Rollout, Route, Service } from './configurationSchema.js'

/** Origin of a publish: operation id, author, time of acceptance (wall-clock milliseconds) and a one-line summary. */
export interface PublishMetadata {
  readonly operationId: string
  readonly author: string
  readonly acceptedAt: number
  readonly summary: string
}

/**
 * Computes a rollout id from the service, target version and finish time, so that publishing the same intent twice
 * yields one rollout.
 */
export function computeRolloutId (service: string, to: string, finishBy: number): string {
  return `${service}-${to}-${digestValue({ service, to, finishBy }).slice(0, 12)}`
}

function composeRollout (
  intent: Intent, previous: Service | undefined, metadata: PublishMetadata
): Rollout | undefined {
  if (intent.rollout === undefined) return undefined
  const finishBy = intent.rollout.finish_by.getTime()
  const id = computeRolloutId(intent.service, intent.rollout.to, finishBy)
  if (previous?.rollout?.id === id) return previous.rollout
  return {
    id,
    from: intent.stable,
    to: intent.rollout.to,
    startedAt: metadata.acceptedAt,
    finishBy,
    step: 0,
    outcome: 'running',
    reason: 'started'
  }
}

function composeService (intent: Intent, previous: Service | undefined, metadata: PublishMetadata): Service {
  const rollout = composeRollout(intent, previous, metadata)
  const base = { name: intent.service, stable: intent.stable, limits: intent.limits }
  if (rollout === undefined) return { ...base, shares: { [intent.stable]: 1 } }
  const keepsShares = previous?.rollout?.id === rollout.id && previous.stable === intent.stable
  const shares = keepsShares ? previous.shares : { [rollout.from]: 1, [rollout.to]: 0 }
  return { ...base, shares, rollout }
}

function composeRoute (intent: RouteIntent, owner: string): Route {
  return {
    name: intent.name,
    method: intent.method,
    path: intent.path,
    idempotent: intent.idempotent,
    deadlineMs: intent.deadline_ms,
    priority: intent.priority,
    service: intent.service ?? owner
  }
}

/**
 * Builds the successor of `previous` from validated intents. A rollout that an intent still declares keeps its shares
 * and outcome, so that republishing the same intent is idempotent.
 */
export function composeConfiguration (
  previous: Configuration | undefined, intents: readonly Intent[], metadata: PublishMetadata
): Configuration {
  const services = intents.map((intent) => composeService(intent, previous?.services[intent.service], metadata))
  const routes = intents.flatMap((intent) => intent.route.map((route) => composeRoute(route, intent.service)))
  return {
    version: (previous?.version ?? 0) + 1,
    ...metadata,
    services: Object.fromEntries(services.map((service) => [service.name, service])),
    routes: Object.fromEntries(routes.map((route) => [route.name, route]))
  }
}
