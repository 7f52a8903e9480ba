import type { Configuration, Rollout, Service } from '../../src/index.js'

export const STAMP = { operationId: 'operation-1', author: 'ola', acceptedAt: 5000, summary: 'change' }

/** A configuration with service `clocks` whose rollout from v1 to v2 has the given parts. */
export function createRolloutConfiguration (
  parts: Partial<Rollout> = {}, shares = { v1: 0.9, v2: 0.1 }
): Configuration {
  const rollout: Rollout = {
    id: 'clocks-v2-1',
    from: 'v1',
    to: 'v2',
    startedAt: 1000,
    finishBy: 9000,
    step: 3,
    outcome: 'running',
    reason: '',
    ...parts
  }
  const limits = { slots: 10, connections: 100, queue: 40, expected_latency_ms: 100 }
  const clocks: Service = { name: 'clocks', stable: 'v1', shares, limits, rollout }
  const parts1: Service = { name: 'parts', stable: 'v1', shares: { v1: 1 }, limits }
  return {
    version: 7, operationId: 'operation-0', author: 'kari', acceptedAt: 2000, summary: '', services: { clocks, parts: parts1 }, routes: {}
  }
}
