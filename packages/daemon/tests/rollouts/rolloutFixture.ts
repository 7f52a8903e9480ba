import type { AddressInfo } from 'node:net'
import {
  composeConfiguration, createManualClock, daemonSettingsSchema, intentSchema, type Configuration, type Evidence,
  type EventName, type ManualClock
} from '@snipenotch/contracts'
import { createConfigurationRepository, HttpObjectStore, HttpTableService, type ConfigurationRepository } from '@snipenotch/store'
import { createPlatformStandIn, type PlatformStandIn } from '@snipenotch/stand-ins'
import { createCounters } from '../../src/observability/createCounters.js'
import type { ControlPlane, PooledEvidence } from '../../src/node/ControlPlane.js'
import type { NodeContext } from '../../src/node/NodeContext.js'
import { createRolloutDriver, type RolloutDriver } from '../../src/rollouts/createRolloutDriver.js'

export const START = 1_000_000
export const FINISH_BY = START + 60_000

export interface RolloutPlatform {
  readonly platform: PlatformStandIn
  readonly clock: ManualClock
  readonly repository: ConfigurationRepository
  readonly readAccepted: () => Promise<Configuration>
  readonly createContext: (host: string, clock?: ManualClock) => FakeContext
  readonly stop: () => void
}

export interface FakeContext extends NodeContext {
  readonly events: EventName[]
}

/** Starts a platform stand-in whose table contains a configuration with a rollout of `clocks` from v1 to v2. */
export async function startRolloutPlatform (random: () => number = () => 1): Promise<RolloutPlatform> {
  const platform = createPlatformStandIn(random)
  await new Promise<void>((resolve) => platform.server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(platform.server.address() as AddressInfo).port}`
  const table = new HttpTableService(address, 2000)
  const objects = new HttpObjectStore(address, 2000)
  const clock = createManualClock(START)
  const repository = createConfigurationRepository(table, objects)
  const intent = intentSchema.parse({
    service: 'clocks', stable: 'v1', rollout: { to: 'v2', finish_by: new Date(FINISH_BY) }, route: [{ name: 'status', method: 'GET', path: '/', idempotent: true }]
  })
  const stamp = { operationId: 'publish/1', author: 'ola', acceptedAt: START, summary: '' }
  ;(await repository.publish('publish/1', (previous) => composeConfiguration(previous, [intent], stamp))).unwrap()
  return {
    platform,
    clock,
    repository,
    readAccepted: async () => (await repository.readAccepted()).unwrap()!.configuration,
    createContext: (host, own = clock) => {
      const secret = 'x'.repeat(32)
      const listen = { requests: address, peers: address, admin: address }
      const events: EventName[] = []
      return {
        settings: daemonSettingsSchema.parse({
          host, data_centre: 'krakow', listen, platform: { table: address, objects: address }, secrets: { mesh: secret, operators: secret }
        }),
        identity: { host, dataCentre: 'krakow', incarnation: 1 },
        clock: own,
        random: () => 0,
        log: (name) => { events.push(name) },
        counters: createCounters(),
        table,
        objects,
        events
      }
    },
    stop: () => {
      platform.server.closeAllConnections()
      platform.server.close()
    }
  }
}

export interface FakeControlPlane extends ControlPlane {
  relay: boolean
  configuration: Configuration | undefined
  readonly sendEvidence: (pooled: PooledEvidence) => void
}

/** Creates the control plane of a single relay, with enough warm slots for both versions. */
export function createFakeControlPlane (): FakeControlPlane {
  const listeners: Array<(pooled: PooledEvidence) => void> = []
  const nothing = (): undefined => undefined
  const listEndpoints: ControlPlane['view']['listEndpoints'] = (service) => ['v1', 'v2'].map((version) => ({
    host: `${service}-${version}`, dataCentre: 'krakow', incarnation: 1, sequence: 1, state: 'serving', service, version, slots: 100, warmSlots: 100, requestAddress: '', peerAddress: '', adminAddress: ''
  }))
  const control: FakeControlPlane = {
    relay: true,
    configuration: undefined,
    view: {
      configuration: () => control.configuration,
      self: () => listEndpoints('clocks')[0]!,
      listEndpoints,
      findEndpoint: nothing,
      isDrained: () => false,
      isQuarantined: () => false
    },
    start: nothing,
    stop: nothing,
    acceptUpgrade: nothing,
    announce: nothing,
    reportSuspects: nothing,
    reportEvidence: nothing,
    reportUnreachable: nothing,
    submitOrder: () => { throw new Error('submitOrder is not part of these tests') },
    readStatus: () => { throw new Error('readStatus is not part of these tests') },
    onEvidence: (listener) => { listeners.push(listener) },
    isRelay: () => control.relay,
    sendEvidence: (pooled) => { for (const listener of listeners) listener(pooled) }
  }
  return control
}

/** Creates evidence of 1000 requests at the current shares, with the given failure ratio of v2 in 0..1. */
export function createTraffic (configuration: Configuration, failureRatio = 0): Evidence[] {
  return Object.entries(configuration.services.clocks!.shares).map(([version, share]) => {
    const requests = Math.round(share * 1000)
    const failures = version === 'v2' ? Math.round(requests * failureRatio) : 0
    return { service: 'clocks', version, route: 'status', requests, failures, slow: 0, latencySum: requests * 20 }
  }).filter(({ requests }) => requests > 0)
}

export interface RunOptions {
  readonly failing?: (now: number) => number
  readonly until?: (configuration: Configuration) => boolean
}

export interface FakeNode {
  readonly context: FakeContext
  readonly control: FakeControlPlane
  readonly driver: RolloutDriver
}

/** Runs rounds one second apart with matching traffic; returns the accepted configuration after the last round. */
export async function runRounds (
  mesh: RolloutPlatform, nodes: readonly FakeNode[], rounds: number, options: RunOptions = {}
): Promise<Configuration> {
  let configuration = await mesh.readAccepted()
  for (let round = 0; round < rounds; round++) {
    mesh.clock.advance(1000)
    for (const { driver, control } of nodes) {
      control.configuration = configuration
      control.sendEvidence({ dataCentre: 'krakow', evidence: createTraffic(configuration, options.failing?.(mesh.clock.wall())) })
      await driver.runRound()
    }
    configuration = await mesh.readAccepted()
    if (options.until?.(configuration) === true) break
  }
  return configuration
}

/** Creates a node's driver with its fake control plane. */
export function createNode (mesh: RolloutPlatform, host: string): FakeNode {
  const context = mesh.createContext(host)
  const control = createFakeControlPlane()
  return { context, control, driver: createRolloutDriver(context, control) }
}
