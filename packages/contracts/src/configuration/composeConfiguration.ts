import type { Intent, RouteIntent } from '../intent/intentSchema.js'
import { digestValue } from './digestValue.js'
import type { Configuration, Rollout, Route, Service } from './configurationSchema.js'

/** Who publishes, when (wall-clock milliseconds) and under which operation id. */
export interface PublishStamp {
  readonly operationId: string
  readonly author: string
  readonly acceptedAt: number
  readonly summary: string
}

/** Identifies a rollout by its service, target and stated time, so that publishing it twice is one rollout. */
export function digestRolloutId (service: string, to: string, finishBy: number): string {
  return `${service}-${to}-${digestValue({ service, to, finishBy }).slice(0, 12)}`
}

function composeRollout (intent: Intent, previous: Service | undefined, stamp: PublishStamp): Rollout | undefined {
  if (intent.rollout === undefined) return undefined
  const finishBy = intent.rollout.finish_by.getTime()
  const id = digestRolloutId(intent.service, intent.rollout.to, finishBy)
  if (previous?.rollout?.id === id) return previous.rollout
  return {
    id,
    from: intent.stable,
    to: intent.rollout.to,
    startedAt: stamp.acceptedAt,
    finishBy,
    step: 0,
    outcome: 'running',
    reason: 'started'
  }
}

function composeService (intent: Intent, previous: Service | undefined, stamp: PublishStamp): Service {
  const rollout = composeRollout(intent, previous, stamp)
  const base = { name: intent.service, stable: intent.stable, limits: intent.limits }
  if (rollout === undefined) return { ...base, shares: { [intent.stable]: 1 } }
  const carried = previous?.rollout?.id === rollout.id && previous.stable === intent.stable
  const shares = carried ? previous.shares : { [rollout.from]: 1, [rollout.to]: 0 }
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
 * Builds the configuration that follows `previous` from checked intents. A rollout that intent still names keeps its
 * shares and outcome, so that publishing the same intent again changes nothing about it.
 */
export function composeConfiguration (
  previous: Configuration | undefined, intents: readonly Intent[], stamp: PublishStamp
): Configuration {
  const services = intents.map((intent) => composeService(intent, previous?.services[intent.service], stamp))
  const routes = intents.flatMap((intent) => intent.route.map((route) => composeRoute(route, intent.service)))
  return {
    version: (previous?.version ?? 0) + 1,
    ...stamp,
    services: Object.fromEntries(services.map((service) => [service.name, service])),
    routes: Object.fromEntries(routes.map((route) => [route.name, route]))
  }
}
