import type { Configuration, Service } from './configurationSchema.js'

/** Smallest rise of a share that counts as traffic being moved. */
const SHARE_TOLERANCE = 1e-6

/** A return to the old version of a running rollout is a take-back, which is always allowed. */
function isTakeBack (service: Service, version: string): boolean {
  return service.rollout?.outcome === 'running' && service.rollout.from === version
}

function checkService (before: Service, after: Service): string[] {
  return Object.entries(after.shares).flatMap(([version, share]) => {
    const earlier = before.shares[version] ?? 0
    if (share <= earlier + SHARE_TOLERANCE || isTakeBack(before, version)) return []
    const moved = `found a move of ${version} from ${earlier * 100}% to ${share * 100}% at once`
    return [`service ${after.name}: ${moved}, expected a rollout, or stable = the version that has all traffic`]
  })
}

/**
 * Returns a line for each service whose traffic a publish would move at once, without a rollout that watches the new
 * version. Services that are new carry no traffic yet.
 */
export function checkTransition (before: Configuration | undefined, after: Configuration): string[] {
  return Object.values(after.services).flatMap((service) => {
    const known = before?.services[service.name]
    return known === undefined ? [] : checkService(known, service)
  })
}
