import { performance } from 'node:perf_hooks'
import {
  type Configuration, type ContactRow, type Endpoint, type DrainOrder, type PeerMessage, toMilliseconds
} from '@snipenotch/contracts'
import { encodeFrame, FRAME_OVERHEAD_BYTES } from '@snipenotch/daemon'
import {
  type ControlAction, type ControlCore, type ControlEvent, createControlCore, type StoreCall
} from '@snipenotch/decisions'

const TICK_MS = 250
const WALL_CLOCK_START_MS = 1_700_000_000_000
const STORE_DELAY_MS = 5
const SAME_REGION_DELAY_MS = 1.5
const CROSS_REGION_DELAY_MS = 25
const REGION_COUNT = 5

/** Identity of a simulated node, the services in its scope, and its seed peers. */
export interface SimulatedNodePlan {
  readonly host: string
  readonly dataCentre: number
  readonly service: string
  readonly scope: readonly string[]
  readonly seeds: readonly string[]
}

/** Bytes by traffic category; each message counts at its sender and at its receiver. */
export interface ByteCounts { configuration: number, endpoints: number, other: number }

/** A control core with its state and measurements in the simulation. */
export interface SimulatedNode {
  readonly plan: SimulatedNodePlan
  core: ControlCore
  up: boolean
  generation: number
  byteCounts: ByteCounts
  /** Simulated time, in milliseconds, at which the current process applied each version. */
  appliedAt: Map<number, number>
  /** CPU time spent on configuration messages and bodies, in milliseconds. */
  configurationMs: number
  /** CPU time of all steps, in milliseconds. */
  totalMs: number
}

/** A simulated network of control cores with a shared store. */
export interface CoreNetwork {
  readonly nodes: readonly SimulatedNode[]
  readonly now: () => number
  readonly advance: (ms: number) => void
  readonly stop: (index: number) => void
  readonly start: (index: number, delay: number) => void
  readonly step: (index: number, event: ControlEvent) => void
  readonly publish: (configuration: Configuration, digest: string) => void
  readonly store: { up: boolean, reads: number, writes: number }
  /** While active, the lower and the upper half of the data centres cannot reach each other. */
  readonly partition: { active: boolean }
}

interface Connection { readonly nodeIndexes: readonly [number, number], open: boolean }
interface ScheduledEvent { readonly at: number, readonly sequence: number, readonly callback: () => void }

/** Creates a priority queue, a binary heap ordered by time and then by insertion. */
function createEventQueue (): {
  insert: (event: ScheduledEvent) => void,
  take: (until: number) => ScheduledEvent | undefined
} {
  const heap: ScheduledEvent[] = []
  const isBefore = (left: ScheduledEvent, right: ScheduledEvent): boolean => left.at < right.at ||
    (left.at === right.at && left.sequence < right.sequence)
  return {
    insert: (event) => {
      let index = heap.length
      heap.push(event)
      while (index > 0) {
        const parent = (index - 1) >> 1
        const parentEvent = heap[parent] as ScheduledEvent
        if (!isBefore(event, parentEvent)) break
        heap[index] = parentEvent
        index = parent
      }
      heap[index] = event
    },
    take: (until) => {
      const first = heap[0]
      if (first === undefined || first.at > until) return undefined
      const last = heap.pop() as ScheduledEvent
      if (heap.length === 0) return first
      let index = 0
      for (;;) {
        let child = index * 2 + 1
        if (child >= heap.length) break
        if (
          child + 1 < heap.length && isBefore(heap[child + 1] as ScheduledEvent, heap[child] as ScheduledEvent)
        ) child += 1
        if (!isBefore(heap[child] as ScheduledEvent, last)) break
        heap[index] = heap[child] as ScheduledEvent
        index = child
      }
      heap[index] = last
      return first
    }
  }
}

function findTrafficCategory (kind: PeerMessage['kind']): keyof ByteCounts {
  switch (kind) {
    case 'offer': case 'fetch': case 'delta': case 'snapshot': return 'configuration'
    case 'endpoints': case 'silent': return 'endpoints'
    case 'hello': case 'heartbeat': case 'orders': case 'suspects': case 'evidence': case 'rejected': case 'subscribe':
    case 'roster': case 'reach': return 'other'
  }
}

/**
 * Creates a network of control cores in one process. Messages pass through a queue in simulated time, with the link
 * delays of the target mesh.
 */
export function createCoreNetwork (
  plans: readonly SimulatedNodePlan[], dataCentres: number, random: () => number
): CoreNetwork {
  const queue = createEventQueue()
  const connections: Connection[] = []
  const store = { up: true, reads: 0, writes: 0 }
  const partition = { active: false }
  const configurations = new Map<string, Configuration>()
  const contacts = new Map<string, ContactRow>()
  const orders = new Map<string, DrainOrder>()
  const nodeIndexByHost = new Map(plans.map(({ host }, index) => [host, index]))
  let currentVersion: { version: number, digest: string } | undefined
  let now = 0
  let nextSequence = 0

  function schedule (delay: number, callback: () => void): void {
    queue.insert({ at: now + delay, sequence: nextSequence++, callback })
  }

  function createNodeCore (plan: SimulatedNodePlan, generation: number): ControlCore {
    const self: Endpoint = {
      host: plan.host,
      dataCentre: `dc${plan.dataCentre}`,
      incarnation: Math.floor(WALL_CLOCK_START_MS + now) * 1000 + generation,
      sequence: 0,
      state: 'serving',
      service: plan.service,
      version: 'v1',
      slots: 10,
      warmSlots: 10,
      requestAddress: `10.0.${plan.host}:8080`,
      peerAddress: plan.host,
      adminAddress: `10.0.${plan.host}:8082`
    }
    return createControlCore({ self, scope: plan.scope, seeds: plan.seeds, random })
  }

  const nodes: SimulatedNode[] = plans.map((plan) => ({
    plan,
    core: createNodeCore(plan, 0),
    up: true,
    generation: 0,
    byteCounts: { configuration: 0, endpoints: 0, other: 0 },
    appliedAt: new Map(),
    configurationMs: 0,
    totalMs: 0
  }))

  function getNode (index: number): SimulatedNode {
    return nodes[index] as SimulatedNode
  }

  function computeDelay (left: number, right: number): number {
    const findRegion = (index: number): number =>
      Math.floor(getNode(index).plan.dataCentre * REGION_COUNT / dataCentres)
    return findRegion(left) === findRegion(right) ? SAME_REGION_DELAY_MS : CROSS_REGION_DELAY_MS
  }

  function isPartitioned (left: number, right: number): boolean {
    const isLower = (index: number): boolean => getNode(index).plan.dataCentre * 2 < dataCentres
    return partition.active && isLower(left) !== isLower(right)
  }

  function deliver (index: number, generation: number, event: ControlEvent): void {
    const node = getNode(index)
    if (node.up && node.generation === generation) step(index, event)
  }

  function step (index: number, event: ControlEvent): void {
    const node = getNode(index)
    const started = performance.now()
    const actions = node.core.step(event, toMilliseconds(now), toMilliseconds(WALL_CLOCK_START_MS + now))
    const elapsedMs = performance.now() - started
    node.totalMs += elapsedMs
    const isConfiguration = event.kind === 'body-read' ||
      (event.kind === 'message' && findTrafficCategory(event.message.kind) === 'configuration')
    if (isConfiguration) node.configurationMs += elapsedMs
    for (const action of actions) runAction(index, node, action)
  }

  function closeConnection (link: number): void {
    const connection = connections[link]
    if (connection?.open !== true) return
    connection.open = false
    for (const nodeIndex of connection.nodeIndexes) {
      const { generation } = getNode(nodeIndex)
      schedule(SAME_REGION_DELAY_MS, () => deliver(nodeIndex, generation, { kind: 'closed', link }))
    }
  }

  /** Opening a connection takes two round trips: the TCP handshake and the HTTP upgrade. */
  function dial (index: number, address: string): void {
    const targetIndex = nodeIndexByHost.get(address)
    const { generation } = getNode(index)
    const delay = targetIndex === undefined ? SAME_REGION_DELAY_MS : computeDelay(index, targetIndex)
    schedule(delay * 4, () => {
      if (targetIndex === undefined || !getNode(targetIndex).up || isPartitioned(index, targetIndex)) {
        deliver(index, generation, { kind: 'dial-failed', address })
        return
      }
      const link = connections.push({ nodeIndexes: [index, targetIndex], open: true }) - 1
      deliver(targetIndex, getNode(targetIndex).generation, { kind: 'opened', link })
      deliver(index, generation, { kind: 'opened', link, address })
    })
  }

  function send (index: number, link: number, message: PeerMessage): void {
    const connection = connections[link]
    if (connection?.open !== true) return
    const targetIndex = connection.nodeIndexes[0] === index ? connection.nodeIndexes[1] : connection.nodeIndexes[0]
    const size = encodeFrame(message).length + FRAME_OVERHEAD_BYTES
    const category = findTrafficCategory(message.kind)
    getNode(index).byteCounts[category] += size
    if (isPartitioned(index, targetIndex)) return
    getNode(targetIndex).byteCounts[category] += size
    const { generation } = getNode(targetIndex)
    schedule(computeDelay(index, targetIndex), () => {
      if (connection.open) deliver(targetIndex, generation, { kind: 'message', link, message })
    })
  }

  function handleStoreCall (call: StoreCall): ControlEvent {
    if (!store.up) return { kind: 'store-failed', call: call.kind, detail: 'down' }
    if (call.kind.startsWith('read')) store.reads += 1
    else store.writes += 1
    switch (call.kind) {
      case 'read-current': return currentVersion === undefined
        ? { kind: 'current-read' }
        : { kind: 'current-read', current: currentVersion }
      case 'read-body': return {
        kind: 'body-read', digest: call.digest, configuration: configurations.get(call.digest) as Configuration
      }
      case 'read-orders': return { kind: 'orders-read', orders: [...orders.values()] }
      case 'read-contacts': return { kind: 'contacts-read', contacts: [...contacts.values()].slice(0, 64) }
      case 'write-contact': contacts.set(call.row.host, call.row); return { kind: 'contact-written' }
      case 'write-order': orders.set(call.order.subject, call.order); return { kind: 'order-written', stored: call.order }
    }
  }

  function runAction (index: number, node: SimulatedNode, action: ControlAction): void {
    const { generation } = node
    switch (action.kind) {
      case 'dial': dial(index, action.address); return
      case 'close': closeConnection(action.link); return
      case 'send': send(index, action.link, action.message); return
      case 'store': schedule(STORE_DELAY_MS, () => deliver(index, generation, handleStoreCall(action.call))); return
      case 'log':
        if (action.name === 'configurationApplied') {
          const version = node.core.configuration()?.version ?? 0
          if (!node.appliedAt.has(version)) node.appliedAt.set(version, now)
        }
        break
      case 'deliver-evidence': case 'count-configuration':
    }
  }

  function runTick (index: number, generation: number): void {
    const node = getNode(index)
    if (!node.up || node.generation !== generation) return
    step(index, { kind: 'tick' })
    schedule(TICK_MS, () => runTick(index, generation))
  }

  function start (index: number, delay: number): void {
    const node = getNode(index)
    node.generation += 1
    const { generation } = node
    schedule(delay, () => {
      node.up = true
      node.appliedAt = new Map()
      node.core = createNodeCore(node.plan, generation)
      runTick(index, generation)
    })
  }

  return {
    nodes,
    now: () => now,
    advance: (ms) => {
      const end = now + ms
      for (let event = queue.take(end); event !== undefined; event = queue.take(end)) {
        now = Math.max(now, event.at)
        event.callback()
      }
      now = end
    },
    stop: (index) => {
      getNode(index).up = false
      for (const [link, connection] of connections.entries()) {
        if (connection.open && connection.nodeIndexes.includes(index)) closeConnection(link)
      }
    },
    start,
    step,
    publish: (configuration, digest) => {
      configurations.set(digest, configuration)
      currentVersion = { version: configuration.version, digest }
    },
    store,
    partition
  }
}
