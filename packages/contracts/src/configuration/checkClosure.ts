import type { Configuration } from './configurationSchema.js'

/** Greatest deviation of a sum of shares from 1 that rounding explains. */
const SHARE_TOLERANCE = 1e-6

/** Returns a line for each reference that points at nothing and each set of shares that does not add up. */
export function checkClosure (configuration: Configuration): string[] {
  const faults: string[] = []
  for (const [name, route] of Object.entries(configuration.routes)) {
    if (route.name !== name) faults.push(`route ${name}: found name "${route.name}", expected "${name}"`)
    if (configuration.services[route.service] === undefined) {
      faults.push(`route ${name}: found service "${route.service}", which the configuration lacks`)
    }
  }
  for (const [name, service] of Object.entries(configuration.services)) {
    if (service.name !== name) faults.push(`service ${name}: found name "${service.name}", expected "${name}"`)
    const sum = Object.values(service.shares).reduce((total, share) => total + share, 0)
    if (Math.abs(sum - 1) > SHARE_TOLERANCE) faults.push(`service ${name}: found shares that add up to ${sum}, expected 1`)
    const known = new Set([service.stable, service.rollout?.from, service.rollout?.to])
    for (const version of Object.keys(service.shares)) {
      if (!known.has(version)) faults.push(`service ${name}: found share for version "${version}", which is neither stable nor in its rollout`)
    }
  }
  return faults
}
