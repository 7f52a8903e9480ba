import { toMilliseconds, type Priority } from '@snipenotch/contracts'
import { expect } from 'chai'
import fc from 'fast-check'
import type { AdmissionAction, Entrant } from '../../src/home/Admission.js'
import { ALONE_LIMIT_MS, createAdmission, MAX_PASSES } from '../../src/home/createAdmission.js'
import { printSeed } from './printSeed.js'

const at = toMilliseconds

let lastId = 0

function createEntrant (change: Partial<Entrant> = {}): Entrant {
  lastId += 1
  return { id: lastId, caller: 'a', priority: 'lookup', deadlineAt: at(1_000_000), alone: false, ...change }
}

function describeActions (actions: readonly AdmissionAction[]): string[] {
  return actions.map((action) => `${action.kind} ${action.id}${action.kind === 'refuse' ? ` ${action.reason}` : ''}`)
}

describe('admission', () => {
  beforeEach(() => { lastId = 0 })

  it('starts what fits into the slots and queues the rest (guards against an overrun backend server)', () => {
    const admission = createAdmission({ slots: 1, queue: 1 })
    expect(describeActions(admission.submit(createEntrant(), at(0)))).to.deep.equal(['start 1'])
    expect(describeActions(admission.submit(createEntrant(), at(0)))).to.deep.equal([])
    expect(describeActions(admission.submit(createEntrant(), at(0)))).to.deep.equal(['refuse 3 queue-full'])
    expect(describeActions(admission.release(1, at(1)))).to.deep.equal(['start 2'])
    expect(admission.count()).to.deep.equal({ running: 1, queued: 0 })
  })

  it('serves orders before lookups before uploads (guards against orders behind photographs)', () => {
    const admission = createAdmission({ slots: 2, queue: 10 })
    const started: string[] = []
    const classes = new Map<number, Priority>()
    const submit = (priority: Priority): void => {
      const entrant = createEntrant({ priority })
      classes.set(entrant.id, priority)
      admission.submit(entrant, at(0))
    }
    for (const priority of ['lookup', 'lookup', 'upload', 'lookup', 'order'] as const) submit(priority)
    for (const id of [1, 2]) {
      for (const action of admission.release(id, at(1))) started.push(classes.get(action.id)!)
    }
    for (const action of admission.release(5, at(2))) started.push(classes.get(action.id)!)
    expect(started).to.deep.equal(['order', 'lookup', 'upload'])
  })

  it('does not starve uploads (guards against uploads that wait behind endless orders)', () => {
    const admission = createAdmission({ slots: 2, queue: 100 })
    const first = [createEntrant(), createEntrant()]
    for (const entrant of first) admission.submit(entrant, at(0))
    const upload = createEntrant({ priority: 'upload' })
    admission.submit(upload, at(0))
    for (let index = 0; index < 50; index++) admission.submit(createEntrant({ priority: 'order' }), at(0))
    let starts = 0
    for (let running = [...first.map(({ id }) => id)]; !running.includes(upload.id) && starts < 100;) {
      const [id, ...rest] = running
      const actions = admission.release(id!, at(1))
      starts += actions.length
      running = [...rest, ...actions.map((action) => action.id)]
    }
    expect(starts).to.be.at.most(MAX_PASSES + 1)
  })

  it('leaves a slot free of uploads (guards against uploads that hold all slots)', () => {
    const admission = createAdmission({ slots: 3, queue: 10 })
    const starts = [1, 2, 3].flatMap(() => describeActions(admission.submit(createEntrant({ priority: 'upload' }), at(0))))
    expect(starts).to.deep.equal(['start 1', 'start 2'])
    expect(describeActions(admission.submit(createEntrant({ priority: 'order' }), at(0)))).to.deep.equal(['start 4'])
  })

  it('refuses a lookup that would be late by the measured time, but no order (guards against work that comes too late)', () => {
    const admission = createAdmission({ slots: 1, queue: 10 })
    admission.submit(createEntrant(), at(0))
    admission.release(1, at(100))
    admission.submit(createEntrant(), at(100))
    expect(describeActions(admission.submit(createEntrant({ deadlineAt: at(250) }), at(100)))).to.deep.equal(['refuse 3 deadline-passed'])
    expect(describeActions(admission.submit(createEntrant({ deadlineAt: at(250), priority: 'order' }), at(100)))).to.deep.equal([])
    expect(describeActions(admission.submit(createEntrant({ deadlineAt: at(500) }), at(100)))).to.deep.equal([])
  })

  it('runs a lookup on an idle server whatever was measured (guards against refusing for ever on an old measurement)', () => {
    const admission = createAdmission({ slots: 1, queue: 10 })
    admission.submit(createEntrant(), at(0))
    admission.release(1, at(10_000))
    expect(describeActions(admission.submit(createEntrant({ deadlineAt: at(10_100) }), at(10_000)))).to.deep.equal(['start 2'])
  })

  it('displaces the caller over its share of a full queue (guards against one caller that crowds out the others)', () => {
    const admission = createAdmission({ slots: 1, queue: 4 })
    for (let index = 0; index < 5; index++) admission.submit(createEntrant({ caller: 'greedy' }), at(0))
    expect(describeActions(admission.submit(createEntrant({ caller: 'modest' }), at(0)))).to.deep.equal(['refuse 5 caller-over-share'])
    expect(describeActions(admission.submit(createEntrant({ caller: 'greedy' }), at(0)))).to.deep.equal(['refuse 7 caller-over-share'])
    expect(describeActions(admission.release(1, at(1)))).to.deep.equal(['start 2'])
    expect(describeActions(admission.release(2, at(2)))).to.deep.equal(['start 6'])
  })

  it('gives the order of a caller the place of its own lookup (guards against an order refused for a lookup)', () => {
    const admission = createAdmission({ slots: 1, queue: 1 })
    admission.submit(createEntrant(), at(0))
    admission.submit(createEntrant(), at(0))
    expect(describeActions(admission.submit(createEntrant({ priority: 'order' }), at(0)))).to.deep.equal(['refuse 2 queue-full'])
  })

  it('runs a crash suspect alone, but not for ever (guards against neighbours lost in the next crash)', () => {
    const admission = createAdmission({ slots: 3, queue: 10 })
    admission.submit(createEntrant(), at(0))
    expect(describeActions(admission.submit(createEntrant({ alone: true }), at(0)))).to.deep.equal([])
    expect(describeActions(admission.submit(createEntrant(), at(0)))).to.deep.equal([])
    expect(describeActions(admission.release(1, at(1)))).to.deep.equal(['start 2'])
    expect(describeActions(admission.expire(at(2)))).to.deep.equal([])
    expect(describeActions(admission.expire(at(1 + ALONE_LIMIT_MS)))).to.deep.equal(['start 3'])
  })
})

interface Event {
  readonly kind: 'submit' | 'release' | 'cancel' | 'expire' | 'limit'
  readonly pick: number
  readonly caller: string
  readonly priority: Priority
  readonly patience: number
  readonly alone: boolean
  readonly wait: number
}

const events: fc.Arbitrary<Event[]> = fc.array(fc.record({
  kind: fc.constantFrom('submit', 'submit', 'submit', 'release', 'release', 'cancel', 'expire', 'limit'),
  pick: fc.nat(20),
  caller: fc.constantFrom('a', 'b', 'c'),
  priority: fc.constantFrom('order', 'lookup', 'upload'),
  patience: fc.constantFrom(0, 5, 50, 500),
  alone: fc.boolean(),
  wait: fc.constantFrom(0, 1, 10, 100)
}), { maxLength: 150 })

describe('admission over any schedule', () => {
  it('answers each request once, within its bounds, never idle with work waiting (guards against lost and doubled requests)', () => {
    const seed = printSeed('admission')
    fc.assert(fc.property(events, fc.integer({ min: 0, max: 4 }), (schedule, queue) => {
      let slots = 2
      const admission = createAdmission({ slots, queue })
      const waiting = new Map<number, Entrant>()
      const running = new Set<number>()
      let now = 0

      function observeActions (actions: readonly AdmissionAction[]): void {
        for (const { kind, id } of actions) {
          const entrant = waiting.get(id)
          expect(entrant, 'acts on a waiting request').to.not.equal(undefined)
          waiting.delete(id)
          if (kind === 'refuse') continue
          expect(entrant!.deadlineAt).to.be.above(now)
          running.add(id)
          expect(running.size).to.be.at.most(slots)
        }
      }

      for (const [id, event] of schedule.entries()) {
        now += event.wait
        if (event.kind === 'submit') {
          const entrant = { id, ...event, deadlineAt: at(now + event.patience) }
          waiting.set(id, entrant)
          observeActions(admission.submit(entrant, at(now)))
        } else if (event.kind === 'release' && running.size > 0) {
          const ended = [...running][event.pick % running.size]!
          running.delete(ended)
          observeActions(admission.release(ended, at(now)))
        } else if (event.kind === 'cancel') {
          const gone = [...waiting.keys()][event.pick % Math.max(1, waiting.size)] ?? -1
          waiting.delete(gone)
          observeActions(admission.cancel(gone, at(now)))
        } else if (event.kind === 'limit') {
          slots = Math.max(running.size, event.pick % 4)
          observeActions(admission.setLimits({ slots, queue }, at(now)))
        } else {
          observeActions(admission.expire(at(now)))
        }
        expect(admission.count()).to.deep.equal({ running: running.size, queued: waiting.size })
        expect(waiting.size).to.be.at.most(queue + 1)
      }
      // Once everything that runs has ended, all that waits is served or refused.
      slots = 2
      observeActions(admission.setLimits({ slots, queue }, at(now)))
      while (running.size > 0) {
        now += 1
        const [ended] = running
        running.delete(ended!)
        observeActions(admission.release(ended!, at(now)))
      }
      observeActions(admission.expire(at(now)))
      expect(waiting.size, 'left waiting on an idle server').to.equal(0)
    }), { seed, numRuns: 2000 })
  })
})
