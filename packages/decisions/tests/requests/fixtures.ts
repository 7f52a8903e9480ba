import type { Configuration, Endpoint, Route } from '@snipenotch/contracts'

/** Creates a route with defaults for the properties that are not given. */
export function createRoute (part: Partial<Route> & { name: string }): Route {
  return {
    method: 'GET', path: '/', idempotent: true, deadlineMs: 1000, priority: 'lookup', service: 'clocks', ...part
  }
}

/** Creates a configuration with one service and the given routes. */
export function createConfiguration (routes: readonly Route[], version = 1): Configuration {
  const limits = { slots: 10, connections: 100, queue: 40, expected_latency_ms: 100 }
  return {
    version,
    operationId: 'o',
    author: 'a',
    acceptedAt: 0,
    summary: '',
    services: { clocks: { name: 'clocks', stable: 'v1', shares: { v1: 1 }, limits } },
    routes: Object.fromEntries(routes.map((route) => [route.name, route]))
  }
}

/** Creates an endpoint with defaults for the properties that are not given. */
export function createEndpoint (part: Partial<Endpoint> & { host: string }): Endpoint {
  return {
    dataCentre: 'krakow',
    incarnation: 1,
    sequence: 1,
    state: 'serving',
    service: 'clocks',
    version: 'v1',
    slots: 10,
    warmSlots: 10,
    requestAddress: '127.0.0.1:1',
    peerAddress: '127.0.0.1:2',
    adminAddress: '127.0.0.1:3',
    ...part
  }
}
