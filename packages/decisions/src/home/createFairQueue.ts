import type { AdmissionRequest } from './AdmissionController.js'

/** A queue that serves callers in round-robin order, and the requests of each caller in order of arrival. */
export interface FairQueue {
  readonly enqueue: (request: AdmissionRequest) => void
  readonly dequeue: () => AdmissionRequest | undefined
  readonly remove: (request: AdmissionRequest) => void
  /** Returns the latest request of a caller. */
  readonly findLatest: (caller: string) => AdmissionRequest | undefined
  readonly count: () => number
  readonly countCaller: (caller: string) => number
  readonly countCallers: () => number
}

/** Creates an empty queue. */
export function createFairQueue (): FairQueue {
  // The insertion order is the round-robin order.
  const byCaller = new Map<string, AdmissionRequest[]>()
  let size = 0
  return {
    enqueue: (request) => {
      const callerQueue = byCaller.get(request.caller)
      if (callerQueue === undefined) byCaller.set(request.caller, [request])
      else callerQueue.push(request)
      size += 1
    },
    dequeue: () => {
      const firstEntry = byCaller.entries().next().value
      if (firstEntry === undefined) return undefined
      const [caller, callerQueue] = firstEntry
      const request = callerQueue.shift()
      byCaller.delete(caller)
      if (callerQueue.length > 0) byCaller.set(caller, callerQueue)
      size -= 1
      return request
    },
    remove: (request) => {
      const callerQueue = byCaller.get(request.caller) ?? []
      const index = callerQueue.indexOf(request)
      if (index < 0) return
      callerQueue.splice(index, 1)
      if (callerQueue.length === 0) byCaller.delete(request.caller)
      size -= 1
    },
    findLatest: (caller) => byCaller.get(caller)?.at(-1),
    count: () => size,
    countCaller: (caller) => byCaller.get(caller)?.length ?? 0,
    countCallers: () => byCaller.size
  }
}
