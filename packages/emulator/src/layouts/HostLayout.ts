import type { HostPlan } from '../mesh/HostPlan.js'

/** A mesh to emulate: its hosts and the intent files of its services. */
export interface MeshLayout {
  readonly name: string
  readonly dataCentres: readonly string[]
  readonly hosts: readonly HostPlan[]
  /** Service name → text of its intent file. */
  readonly intents: Readonly<Record<string, string>>
}

/** Lays hosts out: each entry is a service with the number of its hosts in each data centre, in order. */
export function buildHosts (
  dataCentres: readonly string[], services: Readonly<Record<string, readonly number[]>>, version: string
): HostPlan[] {
  return dataCentres.flatMap((dataCentre, index) => Object.entries(services).flatMap(([service, counts]) =>
    Array.from({ length: counts[index] ?? 0 }, (_, number) =>
      ({ host: `${dataCentre}-${service}-${number + 1}`, dataCentre, service, version }))))
}

/** Formats one route of an intent file. */
export function formatRoute (
  name: string, method: 'GET' | 'POST' | 'PUT', path: string, priority: 'lookup' | 'order' | 'upload', deadline: number
): string {
  return `
[[route]]
name = "${name}"
method = "${method}"
path = "${path}"
idempotent = ${priority !== 'order'}
deadline_ms = ${deadline}
priority = "${priority}"
`
}

/** Formats an intent file, with a rollout if `rollout` is given. */
export function formatIntent (
  service: string, limits: string, routes: readonly string[], rollout?: { to: string, finishBy: Date }
): string {
  const end = rollout === undefined
    ? ''
    : `\n[rollout]\nto = "${rollout.to}"\nfinish_by = ${rollout.finishBy.toISOString()}\n`
  return `service = "${service}"\nstable = "v1"\n\n[limits]\n${limits}\n${routes.join('')}${end}`
}
