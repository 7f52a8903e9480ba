/** What a connection occupies in the memory of its node. */
export interface ConnectionUsage {
  /** Requests whose responses have not been sent completely. */
  readonly openRequests: number
  /** Bytes of responses that the client has not read, and bytes that were read ahead of the parser. */
  readonly bytes: number
}

/** Limits of a `ConnectionBudget`. */
export interface ConnectionLimits {
  /** Open requests on one connection from which on no more are read from it. */
  readonly connectionRequests: number
  /** Bytes buffered for one connection from which on no more requests are read from it. */
  readonly connectionBytes: number
  /** Open requests on all connections; beyond that, connections are closed. */
  readonly nodeRequests: number
  /** Bytes buffered for all connections; beyond that, connections are closed. */
  readonly nodeBytes: number
}

/**
 * Keeps the memory that clients can occupy within limits. Addresses clients that pipeline requests and read no
 * response: their connections are no longer read, so that TCP pushes back, and those that occupy most are closed if all
 * together exceed the limits of the node.
 */
export interface ConnectionBudget<Connection> {
  /** Sets the usage of a connection. Returns the connections that must be closed; they are already removed. */
  readonly update: (connection: Connection, usage: ConnectionUsage) => Connection[]
  /** True if another request may be read from a connection. */
  readonly mayRead: (connection: Connection) => boolean
  /** True if so much of the limits is in use that each connection may have one open request only. */
  readonly isTight: () => boolean
  readonly remove: (connection: Connection) => void
  readonly getUsage: (connection: Connection) => ConnectionUsage
  /** Usage of all connections together. */
  readonly getTotal: () => ConnectionUsage
}

const NO_USAGE: ConnectionUsage = { openRequests: 0, bytes: 0 }
/** Share of a limit of the node from which on each connection may have one open request only. */
const TIGHT_SHARE = 0.5

/** Creates a budget without connections. */
export function createConnectionBudget<Connection> (limits: ConnectionLimits): ConnectionBudget<Connection> {
  const usages = new Map<Connection, ConnectionUsage>()
  let openRequests = 0
  let bytes = 0

  function set (connection: Connection, usage: ConnectionUsage | undefined): void {
    const before = usages.get(connection) ?? NO_USAGE
    const { openRequests: newRequests, bytes: newBytes } = usage ?? NO_USAGE
    openRequests += newRequests - before.openRequests
    bytes += newBytes - before.bytes
    if (usage === undefined || (newRequests === 0 && newBytes === 0)) usages.delete(connection)
    else usages.set(connection, usage)
  }

  const getUsage = (connection: Connection): ConnectionUsage => usages.get(connection) ?? NO_USAGE
  const isTight = (): boolean =>
    openRequests > limits.nodeRequests * TIGHT_SHARE || bytes > limits.nodeBytes * TIGHT_SHARE

  /** Finds the connection with the largest share of the limits that are exceeded. */
  function findWorst (): Connection | undefined {
    const requestWeight = openRequests > limits.nodeRequests ? 1 / limits.nodeRequests : 0
    const byteWeight = bytes > limits.nodeBytes ? 1 / limits.nodeBytes : 0
    if (requestWeight + byteWeight === 0) return undefined
    let worst: Connection | undefined
    let most = 0
    for (const [connection, usage] of usages) {
      const share = usage.openRequests * requestWeight + usage.bytes * byteWeight
      if (share <= most) continue
      worst = connection
      most = share
    }
    return worst
  }

  return {
    update: (connection, usage) => {
      set(connection, usage)
      const closed: Connection[] = []
      for (let worst = findWorst(); worst !== undefined; worst = findWorst()) {
        set(worst, undefined)
        closed.push(worst)
      }
      return closed
    },
    mayRead: (connection) => {
      const usage = getUsage(connection)
      if (usage.bytes >= limits.connectionBytes) return false
      return usage.openRequests < (isTight() ? 1 : limits.connectionRequests)
    },
    isTight,
    remove: (connection) => { set(connection, undefined) },
    getUsage,
    getTotal: () => ({ openRequests, bytes })
  }
}
