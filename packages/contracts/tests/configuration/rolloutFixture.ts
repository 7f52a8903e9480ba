import type { Configuration, Rollout, Service } from '../../src/index.js'

/** Publish metadata of the changes under test. */
export const METADATA = { operationId: 'operation-1', author: 'ola', acceptedAt: 5000, summary: 'change' }

/**
 * Creates a configuration with two services: `clocks` with a rollout from v1 to v2 and the given overrides, and `parts`
 * without a rollout.
 */
export function createRolloutConfiguration (
  overrides: Partial<Rollout> = {}, shares = { v1: 0.9, v2: 0.1 }
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
    ...overrides
  }
  const limits = { slots: 10, connections: 100, queue: 40, expected_latency_ms: 100 }
  const clocks: Service = { name: 'clocks', stable: 'v1', shares, limits, rollout }
  const partsService: Service = { name: 'parts', stable: 'v1', shares: { v1: 1 }, limits }
  return {
    version: 7, operationId: 'operation-0', author: 'kari', acceptedAt: 2000, summary: '', services: { clocks, parts: partsService }, routes: {}
  }
}
