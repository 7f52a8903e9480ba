/** Buffers the body of a response, up to `MAX_RECORDED_BYTES`, to replay it for duplicate requests. */
export interface ResponseRecorder {
  readonly add: (chunk: Buffer) => void
  /** Returns the whole body, or undefined if it exceeded the limit. */
  readonly getBody: () => Buffer | undefined
}

/** Maximum size of a recorded body, in bytes. */
export const MAX_RECORDED_BYTES = 65_536

/** Creates an empty recorder. */
export function createResponseRecorder (): ResponseRecorder {
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
