/** The part of js-csp 1.0.1 that the daemon uses; the library ships no types. */
declare module 'js-csp' {
  export interface Channel<Value> {
    readonly closed: boolean
    close: () => void
    readonly carries?: Value
  }
  export interface Buffer { readonly kind?: 'buffer' }
  /** Yielded inside a `go` block to wait for an operation. */
  export interface Instruction { readonly kind?: 'instruction' }
  export interface AltResult { readonly channel: Channel<unknown>, readonly value: unknown }

  interface Csp {
    readonly CLOSED: null
    readonly DEFAULT: { readonly kind: 'default' }
    readonly NO_VALUE: { readonly kind: 'no-value' }
    chan: <Value>(bufferOrSize?: Buffer | number) => Channel<Value>
    go: (body: () => Generator<Instruction, void, unknown>) => Channel<void>
    put: <Value>(channel: Channel<Value>, value: Value) => Instruction
    take: (channel: Channel<unknown>) => Instruction
    alts: (channels: ReadonlyArray<Channel<unknown>>, options?: { priority?: boolean }) => Instruction
    timeout: (ms: number) => Channel<never>
    putAsync: <Value>(channel: Channel<Value>, value: Value, callback?: (open: boolean) => void) => void
    takeAsync: <Value>(channel: Channel<Value>, callback: (value: Value | null) => void) => void
    /** Puts without waiting; false if the buffer is full or the channel closed. */
    offer: <Value>(channel: Channel<Value>, value: Value) => boolean
    poll: <Value>(channel: Channel<Value>) => Value | { readonly kind: 'no-value' }
    readonly buffers: {
      fixed: (size: number) => Buffer
      dropping: (size: number) => Buffer
      sliding: (size: number) => Buffer
    }
  }

  const csp: Csp
  export default csp
}
