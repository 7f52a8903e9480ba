import type { HostPlan } from '../mesh/HostPlan.js'

/** Layout of an emulated mesh: its hosts and the intent files of its services. */
export interface MeshLayout {
  readonly name: string
  readonly dataCentres: readonly string[]
  readonly hosts: readonly HostPlan[]
  /** Text of the intent file of each service, by service name. */
  readonly intents: Readonly<Record<string, string>>
}

/** Builds the plans of all hosts; `services` holds the number of a service's hosts in each data centre, in order. */
export function buildHosts (
  dataCentres: readonly string[], services: Readonly<Record<string, readonly number[]>>, version: string
): HostPlan[] {
  return dataCentres.flatMap((dataCentre, index) => Object.entries(services).flatMap(([service, hostCounts]) =>
    Array.from({ length: hostCounts[index] ?? 0 }, (_, number) =>
      ({ host: `${dataCentre}-${service}-${number + 1}`, dataCentre, service, version }))))
}

/** Formats one route of an intent file; `deadlineMs` is its default deadline. */
export function formatRoute (
  name: string, method: 'GET' | 'POST' | 'PUT', path: string, priority: 'lookup' | 'order' | 'upload', deadlineMs: number
): string {
  return `
[[route]]
name = "${name}"
method = "${method}"
path = "${path}"
idempotent = ${priority !== 'order'}
deadline_ms = ${deadlineMs}
priority = "${priority}"
`
}

/** Formats an intent file with the stable version `v1`, and with a rollout if `rollout` is given. */
export function formatIntent (
  service: string, limits: string, routes: readonly string[], rollout?: { to: string, finishBy: Date }
): string {
  const rolloutSection = rollout === undefined
    ? ''
    : `\n[rollout]\nto = "${rollout.to}"\nfinish_by = ${rollout.finishBy.toISOString()}\n`
  return `service = "${service}"\nstable = "v1"\n\n[limits]\n${limits}\n${routes.join('')}${rolloutSection}`
}
