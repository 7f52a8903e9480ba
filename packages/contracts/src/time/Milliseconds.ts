declare const unit: unique symbol

/** A duration, or a point in time counted from a clock's origin, in milliseconds. */
export type Milliseconds = number & { readonly [unit]: 'ms' }

/** Marks a plain number as milliseconds. */
export function toMilliseconds (value: number): Milliseconds {
  return value as Milliseconds
}

/** Returns `start` moved later by `duration` milliseconds. */
export function addMilliseconds (start: Milliseconds, duration: number): Milliseconds {
  return (start + duration) as Milliseconds
}
