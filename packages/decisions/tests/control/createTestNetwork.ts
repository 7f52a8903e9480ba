import {
  type Configuration, type ContactRow, digestValue, type Endpoint, type Milliseconds, type DrainOrder, type PeerMessage
} from '@snipenotch/contracts'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import {
  type ControlAction, type ControlCore, type ControlEvent, type ControlSettings, createControlCore, isNewerOrder,
  type StoreCall
} from '../../src/index.js'

const TICK_MS = 250
/** Wall-clock time at the start of a test network. */
export const WALL_ORIGIN = 1_700_000_000_000

/** Placement and scope of one node. */
export interface NodePlan {
  readonly host: string
  readonly dataCentre: string
  readonly scope: readonly string[]
}

/** A node of the test network; `run` counts its restarts. */
export interface TestNode {
  readonly plan: NodePlan
  core: ControlCore
  up: boolean
  pausedUntil: number
  run: number
  /** Number of deltas and snapshots sent. */
  responsesSent: number
  readonly log: Array<{ at: number, name: string, fields: Readonly<Record<string, unknown>> }>
}

/** In-memory store; calls fail while `up` is false. */
export interface TestStore {
  up: boolean
  current: { version: number, digest: string } | undefined
  readonly bodies: Map<string, Configuration>
  readonly orders: Map<string, DrainOrder>
  readonly contacts: Map<string, ContactRow>
  reads: number
  writes: number
}

/** Fault rates of messages: lost, duplicated, and delayed by up to two seconds. */
export interface Faults { lose: number, repeat: number, reorder: number }

interface LinkState { readonly ends: readonly [number, number], open: boolean, isLossy: boolean }

/** Creates the core of a node. */
export type CoreFactory = (settings: ControlSettings) => ControlCore

/** Simulated network of control cores with a virtual clock. */
export interface TestNetwork {
  readonly nodes: TestNode[]
  readonly store: TestStore
  readonly faults: Faults
  /** Pairs of data centres, such as `a/b`, that cannot reach each other. */
  readonly partitions: Set<string>
  now: () => number
  advance: (ms: number) => void
  stop: (index: number) => void
  start: (index: number) => void
  pause: (index: number, ms: number) => void
  step: (index: number, event: ControlEvent) => void
  submitOrder: (index: number, subject: string, action: 'drain' | 'restore', id: string) => DrainOrder
  publish: (configuration: Configuration) => void
  /** Ends all faults and closes links that have lost or reordered messages, as TCP would have done. */
  removeFaults: () => void
}

/** Creates a seeded generator of random numbers in 0..1. */
export function createDraw (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}

/** Creates a network of cores connected by queues; `afterStep` is called after each step of a core. */
export function createTestNetwork (
  seed: number, plans: readonly NodePlan[], afterStep: (node: TestNode) => void = () => undefined,
  create: CoreFactory = createControlCore
): TestNetwork {
  const random = createDraw(seed)
  const queue: Array<{ at: number, order: number, run: () => void }> = []
  const links: LinkState[] = []
  const faults: Faults = { lose: 0, repeat: 0, reorder: 0 }
  const partitions = new Set<string>()
  let now = 0
  let order = 0

  function schedule (delay: number, run: () => void): void {
    const item = { at: now + delay, order: order++, run }
    let index = queue.length
    while (index > 0 && (queue[index - 1]!.at > item.at)) index--
    queue.splice(index, 0, item)
  }

  function createNode (plan: NodePlan): TestNode {
    return { plan, core: createCore(plan, 0), up: true, pausedUntil: 0, run: 0, responsesSent: 0, log: [] }
  }

  function createCore (plan: NodePlan, run: number): ControlCore {
    const self: Endpoint = {
      host: plan.host,
      dataCentre: plan.dataCentre,
      incarnation: (WALL_ORIGIN + now) * 1000 + run,
      sequence: 0,
      state: 'serving',
      service: 's0',
      version: 'v1',
      slots: 4,
      warmSlots: 4,
      requestAddress: `r-${plan.host}`,
      peerAddress: plan.host,
      adminAddress: `a-${plan.host}`
    }
    return create({ self, scope: plan.scope, seeds: plans.slice(0, 2).map(({ host }) => host), random })
  }

  const nodes = plans.map(createNode)
  const store: TestStore = {
    up: true, current: undefined, bodies: new Map(), orders: new Map(), contacts: new Map(), reads: 0, writes: 0
  }

  function isPartitioned (left: number, right: number): boolean {
    const pair = [nodes[left]!.plan.dataCentre, nodes[right]!.plan.dataCentre].sort().join('/')
    return partitions.has(pair)
  }

  /** Passes an event to a node; events for a paused node are delayed, those for a stopped one are dropped. */
  function deliver (index: number, run: number, event: ControlEvent): void {
    const node = nodes[index]!
    if (!node.up || node.run !== run) return
    if (now < node.pausedUntil) { schedule(node.pausedUntil - now, () => deliver(index, run, event)); return }
    step(index, event)
  }

  function step (index: number, event: ControlEvent): void {
    const node = nodes[index]!
    execute(index, node.core.step(event, now as Milliseconds, (WALL_ORIGIN + now) as Milliseconds))
    afterStep(node)
  }

  function closeLink (link: number): void {
    const state = links[link]
    if (state === undefined || !state.open) return
    state.open = false
    for (const end of state.ends) {
      const { run } = nodes[end]!
      schedule(1.5, () => deliver(end, run, { kind: 'closed', link }))
    }
  }

  function dial (index: number, address: string): void {
    const target = nodes.findIndex(({ plan }) => plan.host === address)
    const { run } = nodes[index]!
    schedule(3, () => {
      if (target < 0 || !nodes[target]!.up || isPartitioned(index, target)) { deliver(index, run, { kind: 'dial-failed', address }); return }
      const link = links.push({ ends: [index, target], open: true, isLossy: false }) - 1
      deliver(target, nodes[target]!.run, { kind: 'opened', link })
      deliver(index, run, { kind: 'opened', link, address })
    })
  }

  function send (index: number, link: number, message: PeerMessage): void {
    const state = links[link]
    if (state === undefined || !state.open) return
    const target = state.ends[0] === index ? state.ends[1] : state.ends[0]
    const { run } = nodes[target]!
    if (message.kind === 'delta' || message.kind === 'snapshot') nodes[index]!.responsesSent += 1
    if (isPartitioned(index, target) || random() < faults.lose) { state.isLossy = true; return }
    const copies = random() < faults.repeat ? 2 : 1
    for (let copy = 0; copy < copies; copy++) {
      const late = random() < faults.reorder
      if (late) state.isLossy = true
      schedule(late ? 1.5 + random() * 2000 : 1.5, () => {
        if (state.open) deliver(target, run, { kind: 'message', link, message })
      })
    }
  }

  function answer (call: StoreCall): ControlEvent {
    if (!store.up) return { kind: 'store-failed', call: call.kind, detail: 'down' }
    if (call.kind.startsWith('read')) store.reads += 1
    else store.writes += 1
    switch (call.kind) {
      case 'read-current': return store.current === undefined ? { kind: 'current-read' } : { kind: 'current-read', current: store.current }
      case 'read-body': return { kind: 'body-read', digest: call.digest, configuration: store.bodies.get(call.digest)! }
      case 'read-orders': return { kind: 'orders-read', orders: [...store.orders.values()] }
      case 'read-contacts': return { kind: 'contacts-read', contacts: [...store.contacts.values()] }
      case 'write-contact': store.contacts.set(call.row.host, call.row); return { kind: 'contact-written' }
      case 'write-order': {
        const stored = store.orders.get(call.order.subject)
        if (isNewerOrder(call.order, stored)) store.orders.set(call.order.subject, call.order)
        return { kind: 'order-written', stored: store.orders.get(call.order.subject)! }
      }
    }
  }

  function execute (index: number, actions: readonly ControlAction[]): void {
    const node = nodes[index]!
    const { run } = node
    for (const action of actions) {
      switch (action.kind) {
        case 'dial': dial(index, action.address); break
        case 'close': closeLink(action.link); break
        case 'send': send(index, action.link, action.message); break
        case 'store': schedule(2 + random() * 10, () => deliver(index, run, answer(action.call))); break
        case 'log': node.log.push({ at: now, name: action.name, fields: action.fields }); break
        case 'deliver-evidence': node.log.push({ at: now, name: 'evidence', fields: { dataCentre: action.dataCentre, evidence: action.evidence } }); break
        case 'count-configuration': break
      }
    }
  }

  function tick (index: number, run: number): void {
    const node = nodes[index]!
    if (!node.up || node.run !== run) return
    if (now >= node.pausedUntil) step(index, { kind: 'tick' })
    schedule(Math.max(TICK_MS, node.pausedUntil - now), () => tick(index, run))
  }

  for (const index of nodes.keys()) schedule(random() * TICK_MS, () => tick(index, 0))

  function stop (index: number): void {
    nodes[index]!.up = false
    for (const [link, state] of links.entries()) if (state.open && state.ends.includes(index)) closeLink(link)
  }

  return {
    nodes,
    store,
    faults,
    partitions,
    now: () => now,
    advance: (ms) => {
      const end = now + ms
      while (queue.length > 0 && queue[0]!.at <= end) {
        const item = queue.shift()!
        now = Math.max(now, item.at)
        item.run()
      }
      now = end
    },
    stop,
    start: (index) => {
      const node = nodes[index]!
      if (node.up) stop(index)
      node.run += 1
      node.up = true
      node.pausedUntil = 0
      node.core = createCore(node.plan, node.run)
      const { run } = node
      schedule(random() * TICK_MS, () => tick(index, run))
    },
    pause: (index, ms) => { nodes[index]!.pausedUntil = now + ms },
    step,
    submitOrder: (index, subject, action, id) => {
      const request = { subject, action, operator: 'test', id }
      const submitted = nodes[index]!.core.submitOrder(request, now as Milliseconds,
        (WALL_ORIGIN + now) as Milliseconds)
      execute(index, submitted.actions)
      return submitted.order
    },
    publish: (configuration) => {
      const digest = digestValue(configuration)
      store.bodies.set(digest, configuration)
      store.current = { version: configuration.version, digest }
    },
    removeFaults: () => {
      Object.assign(faults, { lose: 0, repeat: 0, reorder: 0 })
      partitions.clear()
      store.up = true
      for (const [link, state] of links.entries()) if (state.open && state.isLossy) closeLink(link)
    }
  }
}
