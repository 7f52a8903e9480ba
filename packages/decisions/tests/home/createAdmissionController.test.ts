import { toMilliseconds, type Priority } from '@snipenotch/contracts'
import { expect } from 'chai'
import fc from 'fast-check'
import type { AdmissionAction, AdmissionRequest } from '../../src/home/AdmissionController.js'
import { EXCLUSIVE_LIMIT_MS, createAdmissionController, MAX_SKIPS } from '../../src/home/createAdmissionController.js'
import { printSeed } from './printSeed.js'

const at = toMilliseconds

let lastId = 0

function createRequest (change: Partial<AdmissionRequest> = {}): AdmissionRequest {
  lastId += 1
  return { id: lastId, caller: 'a', priority: 'lookup', deadlineAt: at(1_000_000), isExclusive: false, ...change }
}

function describeActions (actions: readonly AdmissionAction[]): string[] {
  return actions.map((action) => `${action.kind} ${action.id}${action.kind === 'refuse' ? ` ${action.reason}` : ''}`)
}

describe('createAdmissionController', () => {
  beforeEach(() => { lastId = 0 })

  it('starts requests up to the number of slots and queues the rest (guards against an overloaded backend server)', () => {
    const controller = createAdmissionController({ slots: 1, queue: 1 })
    expect(describeActions(controller.submit(createRequest(), at(0)))).to.deep.equal(['start 1'])
    expect(describeActions(controller.submit(createRequest(), at(0)))).to.deep.equal([])
    expect(describeActions(controller.submit(createRequest(), at(0)))).to.deep.equal(['refuse 3 queue-full'])
    expect(describeActions(controller.release(1, at(1)))).to.deep.equal(['start 2'])
    expect(controller.count()).to.deep.equal({ running: 1, queued: 0 })
  })

  it('starts orders before lookups before uploads (guards against orders that wait behind uploads)', () => {
    const controller = createAdmissionController({ slots: 2, queue: 10 })
    const started: string[] = []
    const classes = new Map<number, Priority>()
    const submit = (priority: Priority): void => {
      const request = createRequest({ priority })
      classes.set(request.id, priority)
      controller.submit(request, at(0))
    }
    for (const priority of ['lookup', 'lookup', 'upload', 'lookup', 'order'] as const) submit(priority)
    for (const id of [1, 2]) {
      for (const action of controller.release(id, at(1))) started.push(classes.get(action.id)!)
    }
    for (const action of controller.release(5, at(2))) started.push(classes.get(action.id)!)
    expect(started).to.deep.equal(['order', 'lookup', 'upload'])
  })

  it('does not starve uploads (guards against uploads that wait behind a steady stream of orders)', () => {
    const controller = createAdmissionController({ slots: 2, queue: 100 })
    const first = [createRequest(), createRequest()]
    for (const request of first) controller.submit(request, at(0))
    const upload = createRequest({ priority: 'upload' })
    controller.submit(upload, at(0))
    for (let index = 0; index < 50; index++) controller.submit(createRequest({ priority: 'order' }), at(0))
    let starts = 0
    for (let running = [...first.map(({ id }) => id)]; !running.includes(upload.id) && starts < 100;) {
      const [id, ...rest] = running
      const actions = controller.release(id!, at(1))
      starts += actions.length
      running = [...rest, ...actions.map((action) => action.id)]
    }
    expect(starts).to.be.at.most(MAX_SKIPS + 1)
  })

  it('reserves a slot for other requests than uploads (guards against uploads that occupy all slots)', () => {
    const controller = createAdmissionController({ slots: 3, queue: 10 })
    const starts = [1, 2, 3].flatMap(() => describeActions(controller.submit(createRequest({ priority: 'upload' }), at(0))))
    expect(starts).to.deep.equal(['start 1', 'start 2'])
    expect(describeActions(controller.submit(createRequest({ priority: 'order' }), at(0)))).to.deep.equal(['start 4'])
  })

  it('refuses a lookup that would miss its deadline by the measured service time, but no order (guards against wasted work)', () => {
    const controller = createAdmissionController({ slots: 1, queue: 10 })
    controller.submit(createRequest(), at(0))
    controller.release(1, at(100))
    controller.submit(createRequest(), at(100))
    expect(describeActions(controller.submit(createRequest({ deadlineAt: at(250) }), at(100)))).to.deep.equal(['refuse 3 deadline-passed'])
    expect(describeActions(controller.submit(createRequest({ deadlineAt: at(250), priority: 'order' }), at(100)))).to.deep.equal([])
    expect(describeActions(controller.submit(createRequest({ deadlineAt: at(500) }), at(100)))).to.deep.equal([])
  })

  it('starts a lookup on an idle server regardless of the measured time (guards against endless refusals due to an outdated measurement)', () => {
    const controller = createAdmissionController({ slots: 1, queue: 10 })
    controller.submit(createRequest(), at(0))
    controller.release(1, at(10_000))
    expect(describeActions(controller.submit(createRequest({ deadlineAt: at(10_100) }), at(10_000)))).to.deep.equal(['start 2'])
  })

  it('evicts a request of the caller over its share of a full queue (guards against one caller that crowds out the others)', () => {
    const controller = createAdmissionController({ slots: 1, queue: 4 })
    for (let index = 0; index < 5; index++) controller.submit(createRequest({ caller: 'heavy' }), at(0))
    expect(describeActions(controller.submit(createRequest({ caller: 'light' }), at(0)))).to.deep.equal(['refuse 5 caller-over-share'])
    expect(describeActions(controller.submit(createRequest({ caller: 'heavy' }), at(0)))).to.deep.equal(['refuse 7 caller-over-share'])
    expect(describeActions(controller.release(1, at(1)))).to.deep.equal(['start 2'])
    expect(describeActions(controller.release(2, at(2)))).to.deep.equal(['start 6'])
  })

  it('evicts a lookup for an order of the same caller (guards against an order refused in favour of a lookup)', () => {
    const controller = createAdmissionController({ slots: 1, queue: 1 })
    controller.submit(createRequest(), at(0))
    controller.submit(createRequest(), at(0))
    expect(describeActions(controller.submit(createRequest({ priority: 'order' }), at(0)))).to.deep.equal(['refuse 2 queue-full'])
  })

  it('runs a crash suspect exclusively for a limited time (guards against other requests lost in the next crash)', () => {
    const controller = createAdmissionController({ slots: 3, queue: 10 })
    controller.submit(createRequest(), at(0))
    expect(describeActions(controller.submit(createRequest({ isExclusive: true }), at(0)))).to.deep.equal([])
    expect(describeActions(controller.submit(createRequest(), at(0)))).to.deep.equal([])
    expect(describeActions(controller.release(1, at(1)))).to.deep.equal(['start 2'])
    expect(describeActions(controller.expire(at(2)))).to.deep.equal([])
    expect(describeActions(controller.expire(at(1 + EXCLUSIVE_LIMIT_MS)))).to.deep.equal(['start 3'])
  })
})

interface Event {
  readonly kind: 'submit' | 'release' | 'cancel' | 'expire' | 'limit'
  readonly pick: number
  readonly caller: string
  readonly priority: Priority
  readonly patience: number
  readonly isExclusive: boolean
  readonly wait: number
}

const events: fc.Arbitrary<Event[]> = fc.array(fc.record({
  kind: fc.constantFrom('submit', 'submit', 'submit', 'release', 'release', 'cancel', 'expire', 'limit'),
  pick: fc.nat(20),
  caller: fc.constantFrom('a', 'b', 'c'),
  priority: fc.constantFrom('order', 'lookup', 'upload'),
  patience: fc.constantFrom(0, 5, 50, 500),
  isExclusive: fc.boolean(),
  wait: fc.constantFrom(0, 1, 10, 100)
}), { maxLength: 150 })

describe('createAdmissionController over arbitrary schedules', () => {
  it('starts or refuses each request once, within the limits, and leaves none waiting when idle (guards against lost and duplicated requests)', () => {
    const seed = printSeed('admission')
    fc.assert(fc.property(events, fc.integer({ min: 0, max: 4 }), (schedule, queue) => {
      let slots = 2
      const controller = createAdmissionController({ slots, queue })
      const waiting = new Map<number, AdmissionRequest>()
      const running = new Set<number>()
      let now = 0

      function observeActions (actions: readonly AdmissionAction[]): void {
        for (const { kind, id } of actions) {
          const request = waiting.get(id)
          expect(request, 'acts on a waiting request').to.not.equal(undefined)
          waiting.delete(id)
          if (kind === 'refuse') continue
          expect(request!.deadlineAt).to.be.above(now)
          running.add(id)
          expect(running.size).to.be.at.most(slots)
        }
      }

      for (const [id, event] of schedule.entries()) {
        now += event.wait
        if (event.kind === 'submit') {
          const request = { id, ...event, deadlineAt: at(now + event.patience) }
          waiting.set(id, request)
          observeActions(controller.submit(request, at(now)))
        } else if (event.kind === 'release' && running.size > 0) {
          const ended = [...running][event.pick % running.size]!
          running.delete(ended)
          observeActions(controller.release(ended, at(now)))
        } else if (event.kind === 'cancel') {
          const gone = [...waiting.keys()][event.pick % Math.max(1, waiting.size)] ?? -1
          waiting.delete(gone)
          observeActions(controller.cancel(gone, at(now)))
        } else if (event.kind === 'limit') {
          slots = Math.max(running.size, event.pick % 4)
          observeActions(controller.setLimits({ slots, queue }, at(now)))
        } else {
          observeActions(controller.expire(at(now)))
        }
        expect(controller.count()).to.deep.equal({ running: running.size, queued: waiting.size })
        expect(waiting.size).to.be.at.most(queue + 1)
      }
      // Once all running requests have ended, every waiting request is started or refused.
      slots = 2
      observeActions(controller.setLimits({ slots, queue }, at(now)))
      while (running.size > 0) {
        now += 1
        const [ended] = running
        running.delete(ended!)
        observeActions(controller.release(ended!, at(now)))
      }
      observeActions(controller.expire(at(now)))
      expect(waiting.size, 'still waiting on an idle server').to.equal(0)
    }), { seed, numRuns: 2000 })
  })
})
