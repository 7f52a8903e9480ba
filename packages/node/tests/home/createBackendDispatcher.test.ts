import { addMilliseconds } from '@snipenotch/contracts'
import { createInstanceLoadTracker, createInstanceState, createVersionEvidence, type InstanceState } from '@snipenotch/decisions'
import { expect } from 'chai'
import type { BackendJob, JobOutcome } from '../../src/home/BackendJob.js'
import { type BackendDispatcher, createBackendDispatcher } from '../../src/home/createBackendDispatcher.js'
import type { BackendClient, BackendResult } from '../../src/home/createBackendClient.js'
import { createCallMonitor } from '../../src/home/createCallMonitor.js'
import { createCrashGuard, type CrashGuard } from '../../src/home/createCrashGuard.js'
import type { MeshView } from '../../src/rows/createMeshView.js'
import { createJob } from '../createJob.js'
import { createTestContext, type TestContext } from '../createTestContext.js'

const SLOTS = 2

describe('createBackendDispatcher', () => {
  let context: TestContext
  let instance: InstanceState
  let crashGuard: CrashGuard
  let dispatcher: BackendDispatcher
  /** Requests sent to the backend server, with the callbacks that end them. */
  let sent: Array<{ readonly job: BackendJob, readonly end: (result: BackendResult) => void }>
  /** Teams of the requests that the backend server began to run. */
  let runs: Array<string | undefined>
  let isVersionAllowed: boolean
  let call: BackendClient['call']

  function report (startedAt: number, sequence: number): void {
    instance.applyReport({
      instance: 'i',
      startedAt,
      sequence,
      version: 'v1',
      slots: SLOTS,
      state: 'serving',
      coldMs: 0,
      address: '',
      service: 'parts',
      dataCentre: 'krakow'
    }, context.clock.now())
    instance.applyProbe({ instance: 'i', isHealthy: true, coldMs: 0 }, context.clock.now(), context.clock.now())
    dispatcher.update()
    instance.applyProbe({ instance: 'i', isHealthy: true, coldMs: 0 }, context.clock.now(), context.clock.now())
  }

  function run (
    given: Partial<BackendJob> = {}, onOutcome: (outcome: JobOutcome) => void = () => undefined
  ): JobOutcome[] {
    const outcomes: JobOutcome[] = []
    const now = context.clock.now()
    const times = {
      arrivedAt: now,
      targetAt: addMilliseconds(now, 1000),
      deadlineAt: addMilliseconds(now, 5000),
      targetLatencyMs: 1000
    }
    dispatcher.run(createJob({ ...times, ...given }), (outcome) => {
      outcomes.push(outcome)
      onOutcome(outcome)
    })
    return outcomes
  }

  const describeOutcome = ([outcome]: readonly JobOutcome[]): string | undefined =>
    outcome === undefined || outcome.kind === 'answered' ? outcome?.kind : `${outcome.kind} ${outcome.reason}`

  beforeEach(() => {
    sent = []
    runs = []
    isVersionAllowed = true
    call = (job, _instance, _remainingMs, end) => {
      sent.push({ job, end })
      return { abort: () => undefined }
    }
    context = createTestContext({ service: 'parts' })
    instance = createInstanceState()
    const view = {
      getHostShare: () => 1,
      isEvacuated: () => false,
      isVersionAllowed: () => isVersionAllowed,
      getService: () => undefined,
      getRelease: () => undefined,
      getConfiguration: () => undefined,
      listServing: () => []
    } satisfies Partial<MeshView> as unknown as MeshView
    crashGuard = createCrashGuard({
      context,
      view,
      onFinding: () => undefined,
      onChange: () => { dispatcher.update() }
    })
    dispatcher = createBackendDispatcher({
      evidence: createVersionEvidence({ run: 1, onProven: () => undefined, onCut: () => undefined }),
      context,
      view,
      instance,
      crashGuard,
      calls: createCallMonitor(context),
      instanceLoads: createInstanceLoadTracker(),
      backend: {
        call: (...given) => call(...given),
        close: () => undefined
      },
      onChange: () => undefined,
      onColdUnknown: () => undefined,
      onRun: ({ team }) => { runs.push(team) }
    })
    report(1, 1)
  })

  it('refuses bodies beyond the memory of the backend server until it has answered (guards against a server that ends under large uploads)', () => {
    const body = Buffer.alloc(50_000_000)
    const [first, second] = [run({ body }), run({ body })]
    expect([first.length, describeOutcome(second), sent.length]).to.deep.equal([0, 'refused busy', 1])
    expect(run()).to.deep.equal([])
    sent[0]?.end({ kind: 'unreachable', detail: '' })
    report(2, 2)
    expect(describeOutcome(run({ body }))).not.to.equal('refused busy')
  })

  it('refuses a request for another service (guards against requests sent to a reused address)', () => {
    expect(describeOutcome(run({ service: 'clocks' }))).to.equal('refused wrong-service')
    expect(sent).to.deep.equal([])
  })

  it('reports each request that the backend server began to run once (guards against usage that no run stands behind)', () => {
    const answer = { kind: 'answered' as const, status: 200, headers: [], body: Buffer.alloc(0) }
    const results: Array<[string, BackendResult]> = [
      ['answered', { ...answer, notRun: false }],
      ['not run', { ...answer, status: 503, notRun: true }],
      ['malformed', { kind: 'malformed', detail: '' }],
      ['lost', { kind: 'lost', reason: 'answer-truncated', detail: '' }],
      ['unreachable', { kind: 'unreachable', detail: '' }]
    ]
    for (const [team, result] of results) {
      run({ team })
      sent.at(-1)!.end(result)
    }
    expect(runs).to.deep.equal(['answered', 'lost'])
  })

  it('counts a request that its caller abandons after it was sent (guards against runs without usage)', () => {
    const job = createJob({ team: 'north', deadlineAt: addMilliseconds(context.clock.now(), 5000) })
    dispatcher.run(job, () => undefined)
    job.cancel?.()
    expect(runs).to.deep.equal(['north'])
  })

  it('refuses requests while the version of its server is not allowed', () => {
    isVersionAllowed = false
    expect(describeOutcome(run())).to.equal('refused version-not-allowed')
    expect(sent).to.deep.equal([])
  })

  it('runs an attempt at a non-idempotent request once, although it arrives again (guards against a request that runs twice)', () => {
    run({ idempotent: false, attemptId: 'once' })
    expect(describeOutcome(run({ idempotent: false, attemptId: 'once' }))).to.equal('lost duplicate-attempt')
    sent[0]?.end({ kind: 'lost', reason: 'connection-lost', detail: '' })
    expect(describeOutcome(run({ idempotent: false, attemptId: 'once' }))).to.match(/^lost duplicate-attempt|^refused/)
    expect(sent.length).to.equal(1)
  })

  const ANSWER: BackendResult = { kind: 'answered', status: 200, headers: [], body: Buffer.alloc(0), notRun: false }
  const defect = (): never => { throw new Error('defect') }
  const endAll = (): void => { for (const { end } of sent.splice(0)) end(ANSWER) }

  it('ends only the requests that cannot be sent, and frees their slots (guards against a service that is refused for good)', () => {
    const sendWell = call
    call = (job, ...rest) => job.target === '/defect' ? defect() : sendWell(job, ...rest)
    const busy = [run(), run()]
    const faulty = [run({ target: '/defect' })]
    const waiting = run()
    endAll()
    endAll()
    expect(faulty.map(describeOutcome)).to.deep.equal(faulty.map(() => 'lost internal-error'))
    expect([...busy, waiting].map(describeOutcome)).to.deep.equal(['answered', 'answered', 'answered'])
    expect(run({ target: '/defect' }).map(({ kind }) => kind)).to.deep.equal(['lost'])
    expect([dispatcher.countOpen(), context.events.filter(({ name }) => name === 'internalError').length])
      .to.deep.equal([0, faulty.length + 1])
  })

  it('goes on with its queue when the handling of an outcome throws (guards against requests that wait for nothing)', () => {
    const first = [run({}, defect), run()]
    const waiting = run()
    sent.shift()?.end(ANSWER)
    endAll()
    expect([...first, waiting].map(describeOutcome)).to.deep.equal(['answered', 'answered', 'answered'])
    expect(dispatcher.countOpen()).to.equal(0)
  })

  it('frees the slot of a request whose abortion throws (guards against slots that never come back)', () => {
    call = () => ({ abort: defect })
    run()
    const job = createJob({ deadlineAt: addMilliseconds(context.clock.now(), 5000), targetLatencyMs: 1000 })
    dispatcher.run(job, () => undefined)
    expect([dispatcher.countOpen(), job.cancel?.(), dispatcher.countOpen()]).to.deep.equal([2, false, 1])
  })

  it('reports a request whose head cannot be sent as refused, and frees its slot (guards against slots that never come back)', () => {
    const outcomes = run()
    sent[0]?.end({ kind: 'malformed', detail: '' })
    expect([describeOutcome(outcomes), dispatcher.countOpen()]).to.deep.equal(['refused malformed', 0])
  })

  it('refuses what waits when a request turns out to crash servers (guards against a queue that ends the next server)', () => {
    const running = [run({ target: '/a' }), run({ target: '/b' })]
    const waiting = run({ target: '/crashing' })
    expect([running.flat(), waiting, sent.length]).to.deep.equal([[], [], SLOTS])
    const other = createCrashGuard({
      context: createTestContext({ host: 'krakow-2', service: 'parts' }),
      view: { listServing: () => [] },
      onFinding: () => undefined,
      onChange: () => undefined
    })
    for (const startedAt of [1, 2]) {
      const lostRun = { instance: 'j', startedAt, sequence: 1, version: 'v1', slots: SLOTS, state: 'serving' } as const
      other.recordLoss(createJob({ target: '/crashing' }), lostRun)
      other.recordRefusedConnection(lostRun)
      other.recordRestart(lostRun)
    }
    crashGuard.applyReport(other.composeReport())
    expect(describeOutcome(waiting)).to.equal('refused crash-suspect')
    expect([running.flat(), sent.length]).to.deep.equal([[], SLOTS])
  })
})
