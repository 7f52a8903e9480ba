import type { Configuration } from '@snipenotch/contracts'

/** Creates a valid configuration with one route per service; `change` alters the resources of one service. */
export function createTestConfiguration (version: number, services = 3, change = version): Configuration {
  const names = Array.from({ length: services }, (_, index) => `s${index}`)
  const limits = { slots: 10, connections: 100, queue: 40, expected_latency_ms: 100 }
  return {
    version,
    operationId: `op-${version}-${change}`,
    author: 'test',
    acceptedAt: version,
    summary: `change ${change}`,
    services: Object.fromEntries(names.map((name, index) => [name, {
      name, stable: index === change % services ? `v${change}` : 'v0', shares: { [index === change % services ? `v${change}` : 'v0']: 1 }, limits
    }])),
    routes: Object.fromEntries(names.map((name) => [`${name}-get`, {
      name: `${name}-get`, method: 'GET', path: `/${name}`, idempotent: true, deadlineMs: 1000, priority: 'lookup', service: name
    }]))
  }
}

/** Creates an invalid configuration: one of its routes refers to a missing service. */
export function createInvalidConfiguration (version: number): Configuration {
  const good = createTestConfiguration(version)
  const [name] = Object.keys(good.routes)
  const route = good.routes[name!]!
  return { ...good, routes: { ...good.routes, [name!]: { ...route, service: 'absent' } } }
}
