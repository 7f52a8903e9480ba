import { Agent } from 'node:http'
import { createRandom } from '@snipenotch/stand-ins'
import type { CallerRecord, RequestKind } from './CallerRecord.js'
import { sendRequest, type Attempt } from './sendRequest.js'

/** A kind of request with its share of the mix. */
export interface MixEntry {
  readonly kind: RequestKind
  readonly method: 'GET' | 'POST' | 'PUT'
  readonly path: string
  readonly weight: number
  /** Size of the body that is sent and of the filler that is asked for, in bytes. */
  readonly bodyBytes?: number
  readonly answerBytes?: number
}

export interface LoadPlan {
  /** Addresses of nodes; each request goes to one drawn at random. */
  readonly nodes: () => readonly string[]
  readonly mix: readonly MixEntry[]
  /** Requests a second, independent of how fast answers come. */
  readonly ratePerSecond: number
  readonly seed: number
  /** Share of orders sent a second time with the same key through another node. */
  readonly duplicates?: number
  /** Share of requests whose caller disconnects early. */
  readonly disconnects?: number
  readonly timeoutMs?: number
  /** Called for each record as it is made. */
  readonly onRecord?: (record: CallerRecord) => void
}

export interface RunningLoad {
  readonly records: readonly CallerRecord[]
  /** Stops new requests and resolves when all have ended. */
  readonly stop: () => Promise<readonly CallerRecord[]>
}

const DEFAULT_TIMEOUT_MS = 5000
const MAX_DISCONNECT_MS = 20
const MAX_DUPLICATE_DELAY_MS = 30
const CALLERS = 8

/** Draws one of the entries by weight. */
export function chooseEntry (mix: readonly MixEntry[], draw: () => number): MixEntry {
  let rest = draw() * mix.reduce((sum, { weight }) => sum + weight, 0)
  for (const entry of mix) {
    if (rest < entry.weight) return entry
    rest -= entry.weight
  }
  throw new Error('the mix of requests is empty')
}

/** Starts open-loop load with exponentially distributed gaps between arrivals. */
export function startLoad (plan: LoadPlan): RunningLoad {
  const { seed, duplicates = 0, disconnects = 0, timeoutMs = DEFAULT_TIMEOUT_MS } = plan
  const draw = createRandom(seed)
  const agent = new Agent({ keepAlive: true })
  const records: CallerRecord[] = []
  const open = new Set<Promise<void>>()
  let count = 0
  let stopped = false
  let timer: NodeJS.Timeout

  function chooseNode (other?: string): string {
    const nodes = plan.nodes()
    const candidates = nodes.length > 1 ? nodes.filter((node) => node !== other) : nodes
    const node = candidates[Math.floor(draw() * candidates.length)]
    if (node === undefined) throw new Error('no node to send a request to')
    return node
  }

  function record (entry: CallerRecord): void {
    records.push(entry)
    plan.onRecord?.(entry)
  }

  function buildAttempt (entry: MixEntry, id: number): Attempt {
    return {
      id,
      kind: entry.kind,
      method: entry.method,
      path: entry.path,
      node: chooseNode(),
      nonce: `${seed}-${id}-0`,
      key: undefined,
      otherNonces: [],
      body: entry.method === 'GET' ? Buffer.alloc(0) : Buffer.alloc(entry.bodyBytes ?? 64, `${seed}-${id}.`),
      answerBytes: entry.answerBytes ?? 0,
      caller: `caller-${id % CALLERS}`,
      disconnectAfterMs: draw() < disconnects ? 1 + draw() * MAX_DISCONNECT_MS : undefined,
      timeoutMs,
      agent
    }
  }

  /** Sends an order with the key that the first answer gave, and perhaps a duplicate through another node. */
  async function sendOrder (first: Attempt): Promise<void> {
    const isDuplicated = draw() < duplicates
    const delay = draw() * MAX_DUPLICATE_DELAY_MS
    const otherNode = chooseNode(first.node)
    // The round for the key waits for its answer; only the order itself may be left by its caller.
    const { record: told, freshKey: key } = await sendRequest({ ...first, disconnectAfterMs: undefined })
    record(told)
    if (key === undefined) return
    const [nonce, again] = [`${seed}-${first.id}-1`, `${seed}-${first.id}-2`]
    const attempts = [sendRequest({ ...first, key, nonce, otherNonces: isDuplicated ? [again] : [] })]
    if (isDuplicated) {
      await new Promise((resolve) => setTimeout(resolve, delay))
      const patient = { ...first, disconnectAfterMs: undefined }
      attempts.push(sendRequest({ ...patient, key, nonce: again, otherNonces: [nonce], node: otherNode }))
    }
    for (const { record: entry } of await Promise.all(attempts)) record(entry)
  }

  async function sendOne (): Promise<void> {
    count += 1
    const attempt = buildAttempt(chooseEntry(plan.mix, draw), count)
    if (attempt.kind === 'order') await sendOrder(attempt)
    else record((await sendRequest(attempt)).record)
  }

  function scheduleNext (dueAt: number): void {
    timer = setTimeout(() => {
      if (stopped) return
      const sending = sendOne()
      open.add(sending)
      const end = (): void => { open.delete(sending) }
      sending.then(end, end)
      scheduleNext(dueAt - Math.log(1 - draw()) / plan.ratePerSecond * 1000)
    }, Math.max(0, dueAt - performance.now()))
  }
  scheduleNext(performance.now())

  return {
    records,
    stop: async () => {
      stopped = true
      clearTimeout(timer)
      await Promise.allSettled(open)
      agent.destroy()
      return records
    }
  }
}
