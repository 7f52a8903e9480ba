import { Agent } from 'node:http'
import { createRandom } from '@snipenotch/stand-ins'
import type { CallerRecord, RequestKind } from './CallerRecord.js'
import { sendRequest, type Attempt } from './sendRequest.js'

/** One type of request in the mix. */
export interface MixEntry {
  readonly kind: RequestKind
  readonly method: 'GET' | 'POST' | 'PUT'
  readonly path: string
  /** Frequency relative to the other entries. */
  readonly weight: number
  /** Size of the request body in bytes. Default: 64; GET requests have none. */
  readonly bodyBytes?: number
  /** Size of the filler to request, in bytes. Default: 0. */
  readonly responseBytes?: number
}

/** Options of {@link startLoad}. */
export interface LoadPlan {
  /** Returns the addresses of the nodes; each request goes to one of them, chosen at random. */
  readonly nodes: () => readonly string[]
  readonly mix: readonly MixEntry[]
  /** Mean number of requests per second, independent of response times. */
  readonly ratePerSecond: number
  readonly seed: number
  /** Share of orders, from 0 to 1, that are sent a second time with the same key through another node. Default: 0. */
  readonly duplicates?: number
  /** Share of requests, from 0 to 1, whose caller disconnects early. Default: 0. */
  readonly disconnects?: number
  /** Deadline of each request in milliseconds. Default: 5000. */
  readonly timeoutMs?: number
  /** Called with each record when it is added. */
  readonly onRecord?: (record: CallerRecord) => void
}

/** Load that is being sent. */
export interface RunningLoad {
  readonly records: readonly CallerRecord[]
  /** Sends no new requests and resolves with all records when the open requests have ended. */
  readonly stop: () => Promise<readonly CallerRecord[]>
}

const DEFAULT_TIMEOUT_MS = 5000
const MAX_DISCONNECT_MS = 20
const MAX_DUPLICATE_DELAY_MS = 30
const CALLER_COUNT = 8

/** Draws one entry at random, by weight. Throws if the mix is empty. */
export function chooseMixEntry (mix: readonly MixEntry[], random: () => number): MixEntry {
  let remainingWeight = random() * mix.reduce((sum, { weight }) => sum + weight, 0)
  for (const entry of mix) {
    if (remainingWeight < entry.weight) return entry
    remainingWeight -= entry.weight
  }
  throw new Error('the mix of requests is empty')
}

/** Starts open-loop load with exponentially distributed intervals between requests. */
export function startLoad (plan: LoadPlan): RunningLoad {
  const { seed, duplicates = 0, disconnects = 0, timeoutMs = DEFAULT_TIMEOUT_MS } = plan
  const random = createRandom(seed)
  const agent = new Agent({ keepAlive: true })
  const records: CallerRecord[] = []
  const pendingSends = new Set<Promise<void>>()
  let requestCount = 0
  let stopped = false
  let timer: NodeJS.Timeout

  function chooseNode (excludedNode?: string): string {
    const nodes = plan.nodes()
    const candidates = nodes.length > 1 ? nodes.filter((node) => node !== excludedNode) : nodes
    const node = candidates[Math.floor(random() * candidates.length)]
    if (node === undefined) throw new Error('no node to send a request to')
    return node
  }

  function addRecord (entry: CallerRecord): void {
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
      responseBytes: entry.responseBytes ?? 0,
      caller: `caller-${id % CALLER_COUNT}`,
      disconnectAfterMs: random() < disconnects ? 1 + random() * MAX_DISCONNECT_MS : undefined,
      timeoutMs,
      agent
    }
  }

  /**
   * Sends an order without a key, then again with the key that the first response issues; for a share of the orders,
   * also a duplicate with the same key through another node.
   */
  async function sendOrder (first: Attempt): Promise<void> {
    const sendsDuplicate = random() < duplicates
    const delayMs = random() * MAX_DUPLICATE_DELAY_MS
    const otherNode = chooseNode(first.node)
    // The request for the key always waits for its response; only the order itself may be disconnected early.
    const { record: keyRecord, issuedKey: key } = await sendRequest({ ...first, disconnectAfterMs: undefined })
    addRecord(keyRecord)
    if (key === undefined) return
    const [nonce, duplicateNonce] = [`${seed}-${first.id}-1`, `${seed}-${first.id}-2`]
    const attempts = [sendRequest({ ...first, key, nonce, otherNonces: sendsDuplicate ? [duplicateNonce] : [] })]
    if (sendsDuplicate) {
      await new Promise((resolve) => setTimeout(resolve, delayMs))
      const withoutDisconnect = { ...first, disconnectAfterMs: undefined }
      attempts.push(sendRequest({
        ...withoutDisconnect, key, nonce: duplicateNonce, otherNonces: [nonce], node: otherNode
      }))
    }
    for (const { record: entry } of await Promise.all(attempts)) addRecord(entry)
  }

  async function sendOne (): Promise<void> {
    requestCount += 1
    const attempt = buildAttempt(chooseMixEntry(plan.mix, random), requestCount)
    if (attempt.kind === 'order') await sendOrder(attempt)
    else addRecord((await sendRequest(attempt)).record)
  }

  function scheduleNext (dueAt: number): void {
    timer = setTimeout(() => {
      if (stopped) return
      const sending = sendOne()
      pendingSends.add(sending)
      const end = (): void => { pendingSends.delete(sending) }
      sending.then(end, end)
      scheduleNext(dueAt - Math.log(1 - random()) / plan.ratePerSecond * 1000)
    }, Math.max(0, dueAt - performance.now()))
  }
  scheduleNext(performance.now())

  return {
    records,
    stop: async () => {
      stopped = true
      clearTimeout(timer)
      await Promise.allSettled(pendingSends)
      agent.destroy()
      return records
    }
  }
}
