import { checkConsistency, type Configuration, type DrainOrder } from '@snipenotch/contracts'
import fc from 'fast-check'
import { digestContent, selectScope } from '../../src/index.js'
import { mergeReference, type ReferenceState } from './mergeReference.js'
import { createInvalidConfiguration, createTestConfiguration } from './createTestConfiguration.js'
import { type CoreFactory, createTestNetwork, type NodePlan, type TestNetwork, type TestNode } from './createTestNetwork.js'

/** Time to converge once the faults have ended: groups that have marked each other as silent probe every 5 s. */
const CONVERGENCE_TIMEOUT_MS = 40_000

/** Nodes of the test network. */
export const PLANS: readonly NodePlan[] = [
  { host: 'a1', dataCentre: 'a', scope: [] },
  { host: 'b1', dataCentre: 'b', scope: [] },
  { host: 'a2', dataCentre: 'a', scope: ['s0'] },
  { host: 'a3', dataCentre: 'a', scope: [] },
  { host: 'a4', dataCentre: 'a', scope: ['s1'] },
  { host: 'b2', dataCentre: 'b', scope: ['s0', 's2'] }
]

type Command =
  | { kind: 'publish' | 'publish-bad' | 'store-down' | 'store-up' | 'cut' | 'heal' }
  | { kind: 'stop' | 'start', node: number }
  | { kind: 'pause', node: number, ms: number }
  | { kind: 'order', node: number, subject: string, action: 'drain' | 'restore' }
  | { kind: 'faults', lose: number, repeat: number, reorder: number }

const node = fc.nat({ max: PLANS.length - 1 })
const share = fc.constantFrom(0, 0.05, 0.3)
const command: fc.Arbitrary<Command> = fc.oneof(
  { weight: 4, arbitrary: fc.constant<Command>({ kind: 'publish' }) },
  { weight: 1, arbitrary: fc.constantFrom<Command>({ kind: 'publish-bad' }, { kind: 'store-down' }, { kind: 'store-up' }, { kind: 'cut' }, { kind: 'heal' }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constantFrom('stop' as const, 'start' as const), node }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('pause' as const), node, ms: fc.integer({ min: 100, max: 9000 }) }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('order' as const), node, subject: fc.constantFrom('host/a1', 'data-centre/b'), action: fc.constantFrom('drain' as const, 'restore' as const)
    })
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('faults' as const), lose: share, repeat: share, reorder: share }) }
)
/** Generates a network seed and a list of commands, each followed by a delay in milliseconds. */
export const schedule = fc.record({
  seed: fc.integer(),
  steps: fc.array(fc.tuple(command, fc.integer({ min: 0, max: 2500 })), { minLength: 1, maxLength: 10 })
})

interface CheckedVersion { version: number, run: number, configuration: Configuration | undefined }

/**
 * Creates a check that runs after each step of a node: versions never decrease, and the active configuration is a
 * complete published version.
 */
function createStepCheck (published: Map<number, Configuration>): (node: TestNode) => void {
  const seen = new Map<string, CheckedVersion>()
  return ({ core, plan, run }) => {
    const configuration = core.configuration()
    const last = seen.get(plan.host)
    if (last?.run === run && last.configuration === configuration) return
    const version = configuration?.version ?? 0
    if (last?.run === run && version < last.version) throw new Error(`${plan.host} went from version ${last.version} to ${version}`)
    seen.set(plan.host, { version, run, configuration })
    if (configuration === undefined) return
    const faults = checkConsistency(configuration)
    if (faults.length > 0) throw new Error(`${plan.host} has an inconsistent configuration: ${faults.join()}`)
    const whole = published.get(version)
    const found = digestContent(configuration)
    const isWhole = whole !== undefined &&
      [digestContent(whole), digestContent(selectScope(whole, plan.scope))].includes(found)
    if (!isWhole) throw new Error(`${plan.host} has an incomplete or altered version ${version}`)
  }
}

/** Final network and the state of the reference model. */
export interface Outcome { network: TestNetwork, reference: ReferenceState }

/** Runs a schedule, ends all faults, publishes a last version and waits for the network to converge. */
export function runSchedule ({ seed, steps }: { seed: number, steps: ReadonlyArray<[Command, number]> },
  create?: CoreFactory): Outcome {
  const published = new Map<number, Configuration>()
  const submitted: DrainOrder[] = []
  const network = createTestNetwork(seed, PLANS, createStepCheck(published), create)
  let version = 0

  function publish (bad: boolean): void {
    version += 1
    const configuration = bad ? createInvalidConfiguration(version) : createTestConfiguration(version)
    published.set(version, configuration)
    network.publish(configuration)
  }

  function run (step: Command): void {
    switch (step.kind) {
      case 'publish': publish(false); return
      case 'publish-bad': publish(true); return
      case 'store-down': network.store.up = false; return
      case 'store-up': network.store.up = true; return
      case 'cut': network.partitions.add('a/b'); return
      case 'heal': network.partitions.clear(); return
      case 'stop': network.stop(step.node); return
      case 'start': network.start(step.node); return
      case 'pause': network.pause(step.node, step.ms); return
      case 'order':
        if (network.nodes[step.node]!.up) submitted.push(network.submitOrder(step.node, step.subject, step.action, `o${submitted.length}`))
        return
      case 'faults': Object.assign(network.faults, step)
    }
  }

  network.advance(3000)
  for (const [step, wait] of steps) {
    run(step)
    network.advance(wait)
  }
  network.removeFaults()
  for (const [index, { up }] of network.nodes.entries()) if (!up) network.start(index)
  network.advance(500)
  publish(false)
  network.advance(CONVERGENCE_TIMEOUT_MS)
  const reference: ReferenceState = { configuration: undefined, orders: new Map() }
  for (const configuration of published.values()) mergeReference(reference, { configuration, orders: new Map() })
  // An order is lost if the only node that stored it stops, so the expected orders are merged from those of all nodes.
  for (const { core } of network.nodes) {
    mergeReference(reference, {
      configuration: undefined,
      orders: new Map(core.readStatus().orders.map((order) =>
        [order.subject, order]))
    })
  }
  return { network, reference }
}
