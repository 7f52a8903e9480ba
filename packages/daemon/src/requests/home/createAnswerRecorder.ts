/** Collects an answer's body for duplicates as long as it is short enough. */
export interface AnswerRecorder {
  readonly add: (chunk: Buffer) => void
  /** The whole body, or undefined if it was too large. */
  readonly getBody: () => Buffer | undefined
}

/** Largest body that is recorded. */
export const MAX_RECORDED_BYTES = 65_536

/** Creates a recorder without any bytes. */
export function createAnswerRecorder (): AnswerRecorder {
  let chunks: Buffer[] = []
  let size = 0
  return {
    add: (chunk) => {
      size += chunk.length
      if (size <= MAX_RECORDED_BYTES) chunks.push(chunk)
      else chunks = []
    },
    getBody: () => size <= MAX_RECORDED_BYTES ? Buffer.concat(chunks) : undefined
  }
}
