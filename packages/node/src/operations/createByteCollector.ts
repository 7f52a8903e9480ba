/** Collects the chunks of a body. Its memory is proportional to the body, whatever the size of the chunks. */
export interface ByteCollector {
  /** Adds a chunk and returns the number of bytes by which the memory in use grew; 0 if it fits into a block. */
  readonly add: (chunk: Buffer) => number
  /** Number of bytes added so far. */
  readonly getSize: () => number
  /** Returns all bytes as one buffer. */
  readonly takeBody: () => Buffer
}

/** Smaller chunks are copied into blocks, because each `Buffer` takes over 100 bytes of the heap itself. */
const MIN_KEPT_BYTES = 2048
const FIRST_BLOCK_BYTES = 4096
const MAX_BLOCK_BYTES = 65_536

/** Creates an empty collector. */
export function createByteCollector (): ByteCollector {
  let parts: Buffer[] = []
  let size = 0
  /** Block into which small chunks are copied, and the number of its bytes in use. */
  let block = Buffer.alloc(0)
  let used = 0
  let nextBlockBytes = FIRST_BLOCK_BYTES

  function closeBlock (): void {
    if (used > 0) parts.push(block.subarray(0, used))
    block = Buffer.alloc(0)
    used = 0
  }

  return {
    add: (chunk) => {
      size += chunk.length
      if (chunk.length >= MIN_KEPT_BYTES || size === chunk.length) {
        closeBlock()
        parts.push(chunk)
        return chunk.length
      }
      let growth = 0
      if (used + chunk.length > block.length) {
        closeBlock()
        block = Buffer.allocUnsafeSlow(nextBlockBytes)
        nextBlockBytes = Math.min(MAX_BLOCK_BYTES, nextBlockBytes * 2)
        growth = block.length
      }
      used += chunk.copy(block, used)
      return growth
    },
    getSize: () => size,
    takeBody: () => {
      closeBlock()
      const [first] = parts
      const body = parts.length === 1 && first !== undefined ? first : Buffer.concat(parts, size)
      parts = []
      return body
    }
  }
}
