/** A request as sent by its caller. */
export interface SentRequest {
  readonly id: string
  readonly service: string
  readonly isIdempotent: boolean
  readonly body: string
  /** Bytes of the response beyond the echo of the request. */
  readonly answerBytes: number
}

/** Records the requests and responses of callers and the runs of backend servers, and detects violated guarantees. */
export interface RequestRecorder {
  readonly recordSent: (request: SentRequest) => void
  /** Records that a backend server starts to run a request. */
  readonly recordRun: (id: string, service: string, body: string) => void
  /** Records the response to a caller. */
  readonly recordAnswer: (id: string, answer: { status: number, echoedId: string, body: string }) => void
  /** Records that a request ended without a response. */
  readonly recordEnd: (id: string) => void
  /** Records that a connection ended without a response although its node was neither killed nor paused. */
  readonly recordCut: (id: string) => void
  readonly recordViolation: (promise: string, detail: string) => void
  /** Records what happened, with the time since the start of the record, in milliseconds. */
  readonly recordEvent: (event: string) => void
  /** Events and violations in order. */
  readonly listEvents: () => readonly string[]
  /** Violations so far; with `isOver`, also those that show only in the complete record. */
  readonly listViolations: (isOver: boolean) => string[]
  readonly countAnswers: () => Readonly<Record<string, number>>
}

/** Composes the body of a backend server's response to a request. */
export const composeAnswerBody = (id: string, body: string, answerBytes = 0): string => `${id}:${body}${'y'.repeat(answerBytes)}`

/** Creates an empty record. */
export function createRequestRecorder (): RequestRecorder {
  const sent = new Map<string, SentRequest & { readonly sentAt: number }>()
  const runs = new Map<string, number>()
  const refused = new Set<string>()
  const open = new Set<string>()
  /** Requests whose connection ended without a response. */
  const cut = new Set<string>()
  const broken: string[] = []
  const events: string[] = []
  const startedAt = performance.now()
  const answers: Record<string, number> = {}
  const computeTime = (): number => Math.round(performance.now() - startedAt)
  const recordEvent = (event: string): void => { events.push(`${computeTime()} ${event}`) }
  const recordViolation = (promise: string, detail: string): void => {
    broken.push(`${promise}: ${detail}`)
    recordEvent(`violation of ${promise}: ${detail}`)
  }

  return {
    recordSent: (request) => {
      sent.set(request.id, { ...request, sentAt: computeTime() })
      open.add(request.id)
    },
    recordRun: (id, service, body) => {
      const request = sent.get(id)
      if (request === undefined) recordViolation('unasked', `${id} was never sent`)
      else if (request.service !== service) recordViolation('route', `${id} for ${request.service} ran at ${service}`)
      else if (request.body !== body) recordViolation('unasked', `${id} ran with another body`)
      const count = (runs.get(id) ?? 0) + 1
      runs.set(id, count)
      if (cut.has(id)) recordViolation('lost', `${id} ran after its connection ended without an answer`)
      if (count > 1 && request?.isIdempotent === false) recordViolation('twice', `${id} ran ${count} times`)
    },
    recordAnswer: (id, { status, echoedId, body }) => {
      open.delete(id)
      answers[status] = (answers[status] ?? 0) + 1
      const request = sent.get(id)
      if (status === 503) refused.add(id)
      if (status !== 200) return
      if (echoedId !== id) recordViolation('mixed', `${id} got the answer of ${echoedId}`)
      if (body !== composeAnswerBody(id, request?.body ?? '', request?.answerBytes)) recordViolation('mixed', `${id} got another body`)
      if (!runs.has(id)) recordViolation('mixed', `${id} was answered and never ran`)
    },
    recordEnd: (id) => {
      open.delete(id)
      answers.none = (answers.none ?? 0) + 1
    },
    recordCut: (id) => {
      cut.add(id)
      if (!runs.has(id)) return
      recordViolation('lost', `${id} ran and its caller got no answer, sent at ${sent.get(id)?.sentAt ?? 0}`)
    },
    recordViolation,
    recordEvent,
    listEvents: () => events,
    listViolations: (isOver) => {
      if (!isOver) return [...broken]
      const ranRefused = [...refused].filter((id) => runs.has(id) && sent.get(id)?.isIdempotent === false)
      return [
        ...broken,
        ...ranRefused.map((id) => `refused: ${id} was told that it has not run`),
        ...[...open].map((id) => `held: ${id} has not ended`)
      ]
    },
    countAnswers: () => answers
  }
}
