import type { Configuration, Service } from './configurationSchema.js'

/** Share increases up to this size are attributed to floating-point rounding and not treated as a traffic move. */
const SHARE_INCREASE_TOLERANCE = 1e-6

/** Moving traffic back to the old version of a running rollout is a rollback, which is always allowed. */
function isRollback (service: Service, version: string): boolean {
  return service.rollout?.outcome === 'running' && service.rollout.from === version
}

function checkService (before: Service, after: Service): string[] {
  return Object.entries(after.shares).flatMap(([version, share]) => {
    const previousShare = before.shares[version] ?? 0
    if (share <= previousShare + SHARE_INCREASE_TOLERANCE || isRollback(before, version)) return []
    const found = `found a move of ${version} from ${previousShare * 100}% to ${share * 100}% at once`
    return [`service ${after.name}: ${found}, expected a rollout, or stable = the version that has all traffic`]
  })
}

/**
 * Returns one message for each version whose traffic share a publish would raise in one step, without a rollout that
 * monitors the version. New services are not checked because they carry no traffic yet.
 */
export function checkTransition (before: Configuration | undefined, after: Configuration): string[] {
  return Object.values(after.services).flatMap((service) => {
    const previous = before?.services[service.name]
    return previous === undefined ? [] : checkService(previous, service)
  })
}
