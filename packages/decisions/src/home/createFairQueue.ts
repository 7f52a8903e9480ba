import type { Entrant } from './Admission.js'

/** A queue that serves its callers in turn, each in order of arrival. */
export interface FairQueue {
  readonly enqueue: (entrant: Entrant) => void
  readonly dequeue: () => Entrant | undefined
  readonly remove: (entrant: Entrant) => void
  /** Latest entrant of a caller. */
  readonly findLatest: (caller: string) => Entrant | undefined
  readonly count: () => number
  readonly countCaller: (caller: string) => number
  readonly countCallers: () => number
}

/** Creates an empty queue. */
export function createFairQueue (): FairQueue {
  // Insertion order is the order of turns.
  const byCaller = new Map<string, Entrant[]>()
  let size = 0
  return {
    enqueue: (entrant) => {
      const own = byCaller.get(entrant.caller)
      if (own === undefined) byCaller.set(entrant.caller, [entrant])
      else own.push(entrant)
      size += 1
    },
    dequeue: () => {
      const turn = byCaller.entries().next().value
      if (turn === undefined) return undefined
      const [caller, own] = turn
      const entrant = own.shift()
      byCaller.delete(caller)
      if (own.length > 0) byCaller.set(caller, own)
      size -= 1
      return entrant
    },
    remove: (entrant) => {
      const own = byCaller.get(entrant.caller) ?? []
      const index = own.indexOf(entrant)
      if (index < 0) return
      own.splice(index, 1)
      if (own.length === 0) byCaller.delete(entrant.caller)
      size -= 1
    },
    findLatest: (caller) => byCaller.get(caller)?.at(-1),
    count: () => size,
    countCaller: (caller) => byCaller.get(caller)?.length ?? 0,
    countCallers: () => byCaller.size
  }
}
