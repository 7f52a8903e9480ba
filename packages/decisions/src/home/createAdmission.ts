import { PRIORITIES, type Milliseconds, type Priority } from '@snipenotch/contracts'
import type { Admission, AdmissionAction, AdmissionLimits, AdmissionRefusal, Entrant } from './Admission.js'
import { createFairQueue } from './createFairQueue.js'

/** A waiting class is served at the latest after this many starts of more urgent classes. */
export const MAX_PASSES = 8

/** Share of the slots that uploads leave free, because they hold a slot for long. */
const UPLOAD_RESERVE = 0.2

/** Weight of the latest sample in the measured service time. */
const SERVICE_TIME_WEIGHT = 0.1

/** A crash suspect that has run this long no longer keeps others from starting. */
export const ALONE_LIMIT_MS = 2000

interface Running {
  readonly entrant: Entrant
  readonly startedAt: Milliseconds
}

/** Creates admission with no request running or waiting. */
export function createAdmission (initial: AdmissionLimits): Admission {
  const queues = { order: createFairQueue(), lookup: createFairQueue(), upload: createFairQueue() }
  const passes: Record<Priority, number> = { order: 0, lookup: 0, upload: 0 }
  const waiting = new Map<number, Entrant>()
  const waitingByCaller = new Map<string, number>()
  const running = new Map<number, Running>()
  let limits = initial
  let uploadsRunning = 0
  let serviceTime = 0
  /** Suspect that was started last. */
  let alone: { readonly id: number, readonly startedAt: Milliseconds } | undefined
  /** Suspect taken from its queue that waits for the running requests to end. */
  let held: Entrant | undefined

  function addWaiting (entrant: Entrant): void {
    waiting.set(entrant.id, entrant)
    waitingByCaller.set(entrant.caller, (waitingByCaller.get(entrant.caller) ?? 0) + 1)
    queues[entrant.priority].enqueue(entrant)
  }

  function removeWaiting (entrant: Entrant): void {
    if (!waiting.delete(entrant.id)) return
    const left = (waitingByCaller.get(entrant.caller) ?? 1) - 1
    if (left === 0) waitingByCaller.delete(entrant.caller)
    else waitingByCaller.set(entrant.caller, left)
    queues[entrant.priority].remove(entrant)
    if (held === entrant) held = undefined
  }

  function refuse ({ id }: Entrant, reason: AdmissionRefusal): AdmissionAction {
    return { kind: 'refuse', id, reason }
  }

  function isAloneRunning (now: Milliseconds): boolean {
    return alone !== undefined && running.has(alone.id) && now - alone.startedAt < ALONE_LIMIT_MS
  }

  function hasUploadSlot (): boolean {
    const reserve = limits.slots < 2 ? 0 : Math.max(1, Math.floor(limits.slots * UPLOAD_RESERVE))
    return uploadsRunning < limits.slots - reserve
  }

  function listServable (): Priority[] {
    return PRIORITIES.filter((priority) => queues[priority].count() > 0 && (priority !== 'upload' || hasUploadSlot()))
  }

  /** Takes the next entrant by class, passing over each class at most MAX_PASSES times in a row. */
  function dequeueNext (): Entrant | undefined {
    const servable = listServable()
    const priority = servable.find((candidate) => passes[candidate] >= MAX_PASSES) ?? servable[0]
    if (priority === undefined) return undefined
    for (const other of servable) passes[other] = other === priority ? 0 : passes[other] + 1
    return queues[priority].dequeue()
  }

  function isTooLate (entrant: Entrant, now: Milliseconds): boolean {
    if (entrant.deadlineAt <= now) return true
    // With nothing running the measured time may be out of date, so the request runs and renews it.
    return entrant.priority === 'lookup' && running.size > 0 && now + serviceTime > entrant.deadlineAt
  }

  function startEntrant (entrant: Entrant, now: Milliseconds): AdmissionAction {
    removeWaiting(entrant)
    running.set(entrant.id, { entrant, startedAt: now })
    if (entrant.priority === 'upload') uploadsRunning += 1
    if (entrant.alone) alone = { id: entrant.id, startedAt: now }
    return { kind: 'start', id: entrant.id }
  }

  function startNext (now: Milliseconds): AdmissionAction[] {
    const actions: AdmissionAction[] = []
    while (running.size < limits.slots && !isAloneRunning(now)) {
      const next = held ?? dequeueNext()
      if (next === undefined) break
      if (isTooLate(next, now)) {
        removeWaiting(next)
        actions.push(refuse(next, 'deadline-passed'))
      } else if (next.alone && running.size > uploadsRunning) {
        held = next
        break
      } else {
        actions.push(startEntrant(next, now))
      }
    }
    return actions
  }

  /** Time until a new lookup would be answered if every running and earlier request took the measured time. */
  function computeAnswerTime (entrant: Entrant): number {
    const { order, lookup } = queues
    const ownTurns = (lookup.countCaller(entrant.caller) + 1) * (lookup.countCallers() + 1)
    const ahead = order.count() + Math.min(lookup.count(), ownTurns)
    const slots = Math.max(1, limits.slots - uploadsRunning)
    return (ahead + 1) * serviceTime / slots + serviceTime
  }

  /** Caller with the most waiting requests, counting `entrant` as waiting. */
  function findHeaviest (entrant: Entrant): string {
    let heaviest = entrant.caller
    let most = (waitingByCaller.get(entrant.caller) ?? 0) + 1
    for (const [caller, count] of waitingByCaller) {
      if (count > most) [heaviest, most] = [caller, count]
    }
    return heaviest
  }

  /** Least urgent and latest waiting request of a caller, among the classes below `above` if that is given. */
  function findVictim (caller: string, above?: Priority): Entrant | undefined {
    const from = above === undefined ? 0 : PRIORITIES.indexOf(above) + 1
    for (const priority of PRIORITIES.slice(from).reverse()) {
      const victim = queues[priority].findLatest(caller)
      if (victim !== undefined) return victim
    }
    return undefined
  }

  /** Makes room in a full queue: the caller over its share loses its least urgent request, which may be the new one. */
  function resolveFullQueue (entrant: Entrant): AdmissionAction {
    const heaviest = findHeaviest(entrant)
    const own = (waitingByCaller.get(entrant.caller) ?? 0) + 1
    const isOverShare = waitingByCaller.size > 1 && own > limits.queue / waitingByCaller.size
    const victim = heaviest === entrant.caller ? findVictim(heaviest, entrant.priority) : findVictim(heaviest)
    if (victim === undefined) return refuse(entrant, isOverShare ? 'caller-over-share' : 'queue-full')
    removeWaiting(victim)
    addWaiting(entrant)
    return refuse(victim, heaviest === entrant.caller ? 'queue-full' : 'caller-over-share')
  }

  function submit (entrant: Entrant, now: Milliseconds): AdmissionAction[] {
    if (entrant.deadlineAt <= now) return [refuse(entrant, 'deadline-passed')]
    const isFree = running.size < limits.slots && waiting.size === 0
    if (!isFree && entrant.priority === 'lookup' && now + computeAnswerTime(entrant) > entrant.deadlineAt) {
      return [refuse(entrant, 'deadline-passed')]
    }
    const actions: AdmissionAction[] = []
    if (isFree || waiting.size < limits.queue) addWaiting(entrant)
    else actions.push(resolveFullQueue(entrant))
    actions.push(...startNext(now))
    // A slot may be free but not for this entrant; without a queue it cannot wait for one.
    if (limits.queue === 0 && waiting.has(entrant.id)) {
      removeWaiting(entrant)
      actions.push(refuse(entrant, 'queue-full'))
    }
    return actions
  }

  function release (id: number, now: Milliseconds): AdmissionAction[] {
    const ended = running.get(id)
    if (ended === undefined) return []
    running.delete(id)
    if (ended.entrant.priority === 'upload') {
      uploadsRunning -= 1
    } else {
      const duration = now - ended.startedAt
      serviceTime += (serviceTime === 0 ? 1 : SERVICE_TIME_WEIGHT) * (duration - serviceTime)
    }
    return startNext(now)
  }

  return {
    submit,
    release,
    cancel: (id, now) => {
      const entrant = waiting.get(id)
      if (entrant === undefined) return []
      removeWaiting(entrant)
      return startNext(now)
    },
    setLimits: (next, now) => {
      limits = next
      return startNext(now)
    },
    expire: (now) => {
      const late = [...waiting.values()].filter(({ deadlineAt }) => deadlineAt <= now)
      for (const entrant of late) removeWaiting(entrant)
      return [...late.map((entrant) => refuse(entrant, 'deadline-passed')), ...startNext(now)]
    },
    count: () => ({ running: running.size, queued: waiting.size }),
    listWaiting: () => [...waiting.keys()]
  }
}
