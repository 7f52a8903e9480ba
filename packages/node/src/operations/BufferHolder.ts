import type { BufferBudget } from '@snipenotch/decisions'

/** Owner of a buffer that counts towards the memory budget of its node. */
export interface BufferHolder {
  /** Discards the buffer and ends its request. */
  readonly drop: () => void
}

/**
 * Share of the machine's memory that bodies of requests and responses may take. Copies made while a body is joined and
 * sent take up to twice as much for a moment.
 */
const BUFFER_MEMORY_SHARE = 1 / 8
const BYTES_PER_MB = 1_048_576

/** Returns the number of bytes that the node on a machine with `memoryMb` megabytes may buffer. */
export function computeBufferLimit (memoryMb: number): number {
  return memoryMb * BYTES_PER_MB * BUFFER_MEMORY_SHARE
}

/** Adds bytes to a holder's buffer and drops the buffers for which there is no room any more, possibly its own. */
export function updateBuffer (budget: BufferBudget<BufferHolder>, holder: BufferHolder, bytes: number): void {
  for (const dropped of budget.grow(holder, bytes)) dropped.drop()
}
