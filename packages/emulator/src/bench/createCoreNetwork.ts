import { performance } from 'node:perf_hooks'
import {
  type Configuration, type ContactRow, type Endpoint, type DrainOrder, type PeerMessage, toMilliseconds
} from '@snipenotch/contracts'
import { encodeFrame, FRAME_OVERHEAD_BYTES } from '@snipenotch/daemon'
import {
  type ControlAction, type ControlCore, type ControlEvent, createControlCore, type StoreCall
} from '@snipenotch/decisions'

const TICK_MS = 250
const WALL_ORIGIN = 1_700_000_000_000
const STORE_DELAY_MS = 5
const NEAR_DELAY_MS = 1.5
const FAR_DELAY_MS = 25
const REGIONS = 5

export interface BenchPlan {
  readonly host: string
  readonly dataCentre: number
  readonly service: string
  readonly scope: readonly string[]
  readonly seeds: readonly string[]
}

/** Bytes by what they are for, counted at sender and receiver alike. */
export interface ByteCounts { configuration: number, endpoints: number, other: number }

export interface BenchNode {
  readonly plan: BenchPlan
  core: ControlCore
  up: boolean
  run: number
  bytes: ByteCounts
  /** Virtual time at which each version was applied by the present process. */
  appliedAt: Map<number, number>
  /** Processor time spent on configuration, in milliseconds. */
  configurationMs: number
  /** Processor time in all steps, in milliseconds. */
  totalMs: number
}

export interface CoreNetwork {
  readonly nodes: readonly BenchNode[]
  readonly now: () => number
  readonly advance: (ms: number) => void
  readonly stop: (index: number) => void
  readonly start: (index: number, delay: number) => void
  readonly step: (index: number, event: ControlEvent) => void
  readonly publish: (configuration: Configuration, digest: string) => void
  readonly store: { up: boolean, reads: number, writes: number }
  /** While set, the regions of the lower and the upper half of the data centres cannot reach each other. */
  readonly cut: { on: boolean }
}

interface Wire { readonly ends: readonly [number, number], open: boolean }
interface Item { readonly at: number, readonly order: number, readonly run: () => void }

/** Binary heap by (time, order of insertion). */
function createQueue (): { insert: (item: Item) => void, take: (until: number) => Item | undefined } {
  const heap: Item[] = []
  const isBefore = (left: Item, right: Item): boolean => left.at < right.at || (left.at === right.at &&
    left.order < right.order)
  return {
    insert: (item) => {
      let index = heap.length
      heap.push(item)
      while (index > 0) {
        const parent = (index - 1) >> 1
        const above = heap[parent] as Item
        if (!isBefore(item, above)) break
        heap[index] = above
        index = parent
      }
      heap[index] = item
    },
    take: (until) => {
      const first = heap[0]
      if (first === undefined || first.at > until) return undefined
      const last = heap.pop() as Item
      if (heap.length === 0) return first
      let index = 0
      for (;;) {
        let child = index * 2 + 1
        if (child >= heap.length) break
        if (child + 1 < heap.length && isBefore(heap[child + 1] as Item, heap[child] as Item)) child += 1
        if (!isBefore(heap[child] as Item, last)) break
        heap[index] = heap[child] as Item
        index = child
      }
      heap[index] = last
      return first
    }
  }
}

function findPurpose (kind: PeerMessage['kind']): keyof ByteCounts {
  switch (kind) {
    case 'offer': case 'fetch': case 'delta': case 'snapshot': return 'configuration'
    case 'endpoints': case 'silent': return 'endpoints'
    case 'hello': case 'heartbeat': case 'orders': case 'suspects': case 'evidence': case 'rejected': case 'subscribe':
    case 'roster': case 'reach': return 'other'
  }
}

/** Cores in one process, connected by queues with virtual time and the link delays of the target mesh. */
export function createCoreNetwork (plans: readonly BenchPlan[], dataCentres: number, draw: () => number): CoreNetwork {
  const queue = createQueue()
  const wires: Wire[] = []
  const store = { up: true, reads: 0, writes: 0 }
  const cut = { on: false }
  const bodies = new Map<string, Configuration>()
  const contacts = new Map<string, ContactRow>()
  const orders = new Map<string, DrainOrder>()
  const byHost = new Map(plans.map(({ host }, index) => [host, index]))
  let current: { version: number, digest: string } | undefined
  let now = 0
  let order = 0

  function schedule (delay: number, run: () => void): void {
    queue.insert({ at: now + delay, order: order++, run })
  }

  function createFor (plan: BenchPlan, run: number): ControlCore {
    const self: Endpoint = {
      host: plan.host,
      dataCentre: `dc${plan.dataCentre}`,
      incarnation: Math.floor(WALL_ORIGIN + now) * 1000 + run,
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
    return createControlCore({ self, scope: plan.scope, seeds: plan.seeds, random: draw })
  }

  const nodes: BenchNode[] = plans.map((plan) => ({
    plan,
    core: createFor(plan, 0),
    up: true,
    run: 0,
    bytes: { configuration: 0, endpoints: 0, other: 0 },
    appliedAt: new Map(),
    configurationMs: 0,
    totalMs: 0
  }))

  function getNode (index: number): BenchNode {
    return nodes[index] as BenchNode
  }

  function computeDelay (left: number, right: number): number {
    const findRegion = (index: number): number => Math.floor(getNode(index).plan.dataCentre * REGIONS / dataCentres)
    return findRegion(left) === findRegion(right) ? NEAR_DELAY_MS : FAR_DELAY_MS
  }

  function isCut (left: number, right: number): boolean {
    const isLower = (index: number): boolean => getNode(index).plan.dataCentre * 2 < dataCentres
    return cut.on && isLower(left) !== isLower(right)
  }

  function deliver (index: number, run: number, event: ControlEvent): void {
    const node = getNode(index)
    if (node.up && node.run === run) step(index, event)
  }

  function step (index: number, event: ControlEvent): void {
    const node = getNode(index)
    const started = performance.now()
    const actions = node.core.step(event, toMilliseconds(now), toMilliseconds(WALL_ORIGIN + now))
    const spent = performance.now() - started
    node.totalMs += spent
    const isConfiguration = event.kind === 'body-read' ||
      (event.kind === 'message' && findPurpose(event.message.kind) === 'configuration')
    if (isConfiguration) node.configurationMs += spent
    for (const action of actions) runAction(index, node, action)
  }

  function closeWire (link: number): void {
    const wire = wires[link]
    if (wire?.open !== true) return
    wire.open = false
    for (const end of wire.ends) {
      const { run } = getNode(end)
      schedule(NEAR_DELAY_MS, () => deliver(end, run, { kind: 'closed', link }))
    }
  }

  /** A dial takes two round trips: TCP and the upgrade. */
  function dial (index: number, address: string): void {
    const target = byHost.get(address)
    const { run } = getNode(index)
    const delay = target === undefined ? NEAR_DELAY_MS : computeDelay(index, target)
    schedule(delay * 4, () => {
      if (target === undefined || !getNode(target).up || isCut(index, target)) {
        deliver(index, run, { kind: 'dial-failed', address })
        return
      }
      const link = wires.push({ ends: [index, target], open: true }) - 1
      deliver(target, getNode(target).run, { kind: 'opened', link })
      deliver(index, run, { kind: 'opened', link, address })
    })
  }

  function send (index: number, link: number, message: PeerMessage): void {
    const wire = wires[link]
    if (wire?.open !== true) return
    const target = wire.ends[0] === index ? wire.ends[1] : wire.ends[0]
    const size = encodeFrame(message).length + FRAME_OVERHEAD_BYTES
    const purpose = findPurpose(message.kind)
    getNode(index).bytes[purpose] += size
    if (isCut(index, target)) return
    getNode(target).bytes[purpose] += size
    const { run } = getNode(target)
    schedule(computeDelay(index, target), () => {
      if (wire.open) deliver(target, run, { kind: 'message', link, message })
    })
  }

  function readAnswer (call: StoreCall): ControlEvent {
    if (!store.up) return { kind: 'store-failed', call: call.kind, detail: 'down' }
    if (call.kind.startsWith('read')) store.reads += 1
    else store.writes += 1
    switch (call.kind) {
      case 'read-current': return current === undefined ? { kind: 'current-read' } : { kind: 'current-read', current }
      case 'read-body': return { kind: 'body-read', digest: call.digest, configuration: bodies.get(call.digest) as Configuration }
      case 'read-orders': return { kind: 'orders-read', orders: [...orders.values()] }
      case 'read-contacts': return { kind: 'contacts-read', contacts: [...contacts.values()].slice(0, 64) }
      case 'write-contact': contacts.set(call.row.host, call.row); return { kind: 'contact-written' }
      case 'write-order': orders.set(call.order.subject, call.order); return { kind: 'order-written', stored: call.order }
    }
  }

  function runAction (index: number, node: BenchNode, action: ControlAction): void {
    const { run } = node
    switch (action.kind) {
      case 'dial': dial(index, action.address); return
      case 'close': closeWire(action.link); return
      case 'send': send(index, action.link, action.message); return
      case 'store': schedule(STORE_DELAY_MS, () => deliver(index, run, readAnswer(action.call))); return
      case 'log':
        if (action.name === 'configurationApplied') {
          const version = node.core.configuration()?.version ?? 0
          if (!node.appliedAt.has(version)) node.appliedAt.set(version, now)
        }
        break
      case 'deliver-evidence': case 'count-configuration':
    }
  }

  function runTick (index: number, run: number): void {
    const node = getNode(index)
    if (!node.up || node.run !== run) return
    step(index, { kind: 'tick' })
    schedule(TICK_MS, () => runTick(index, run))
  }

  function start (index: number, delay: number): void {
    const node = getNode(index)
    node.run += 1
    const { run } = node
    schedule(delay, () => {
      node.up = true
      node.appliedAt = new Map()
      node.core = createFor(node.plan, run)
      runTick(index, run)
    })
  }

  return {
    nodes,
    now: () => now,
    advance: (ms) => {
      const end = now + ms
      for (let item = queue.take(end); item !== undefined; item = queue.take(end)) {
        now = Math.max(now, item.at)
        item.run()
      }
      now = end
    },
    stop: (index) => {
      getNode(index).up = false
      for (const [link, wire] of wires.entries()) if (wire.open && wire.ends.includes(index)) closeWire(link)
    },
    start,
    step,
    publish: (configuration, digest) => {
      bodies.set(digest, configuration)
      current = { version: configuration.version, digest }
    },
    store,
    cut
  }
}
