declare const unit: unique symbol

/** A duration, or a time relative to a clock's origin, in milliseconds. Branded to keep it apart from plain numbers. */
export type Milliseconds = number & { readonly [unit]: 'ms' }

/** Brands a plain number as milliseconds. */
export function toMilliseconds (value: number): Milliseconds {
  return value as Milliseconds
}

/** Returns the time `duration` milliseconds after `start`. */
export function addMilliseconds (start: Milliseconds, duration: number): Milliseconds {
  return (start + duration) as Milliseconds
}
