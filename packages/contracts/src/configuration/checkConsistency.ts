import type { Configuration } from './configurationSchema.js'

/** Maximum deviation of a sum of shares from 1 that is attributed to floating-point rounding. */
const SHARE_SUM_TOLERANCE = 1e-6

/**
 * Checks the references and traffic shares of a configuration. Returns one message for each dangling reference, each
 * name that differs from its key, each share of an undeclared version and each set of shares that does not sum to 1.
 */
export function checkConsistency (configuration: Configuration): string[] {
  const violations: string[] = []
  for (const [name, route] of Object.entries(configuration.routes)) {
    if (route.name !== name) violations.push(`route ${name}: found name "${route.name}", expected "${name}"`)
    if (configuration.services[route.service] === undefined) {
      violations.push(`route ${name}: found service "${route.service}", which the configuration lacks`)
    }
  }
  for (const [name, service] of Object.entries(configuration.services)) {
    if (service.name !== name) violations.push(`service ${name}: found name "${service.name}", expected "${name}"`)
    const sum = Object.values(service.shares).reduce((total, share) => total + share, 0)
    if (Math.abs(sum - 1) > SHARE_SUM_TOLERANCE) violations.push(`service ${name}: found shares that add up to ${sum}, expected 1`)
    const declaredVersions = new Set([service.stable, service.rollout?.from, service.rollout?.to])
    for (const version of Object.keys(service.shares)) {
      if (!declaredVersions.has(version)) violations.push(`service ${name}: found share for version "${version}", which is neither stable nor in its rollout`)
    }
  }
  return violations
}
