import { type DutyHolder, dutyHolderSchema } from '@snipenotch/contracts'
import { decodeDutyTable, type DutyReadResult, type DutyWrite, type DutyWriteResult, LEASE_KEY, type Replica } from '@snipenotch/decisions'
import type { StoreClient, StoreError } from '@snipenotch/platform'
import type { NodeContext } from '../NodeContext.js'
import { DUTY_TABLE, MESH_TABLE, USAGE_HOLDER_KEY } from '../rows/TABLES.js'

/** The duty's rows in the store, and the replicated row that names its holder. */
export interface DutyStore {
  readonly read: () => Promise<DutyReadResult>
  readonly write: (write: DutyWrite) => Promise<DutyWriteResult>
  /** Returns the holder that the local copy of the mesh table names. */
  readonly getHolder: () => DutyHolder | undefined
}

/** Options of `createDutyStore`. */
export interface DutyStoreOptions {
  readonly context: NodeContext
  readonly store: Pick<StoreClient, 'readTable' | 'write'>
  readonly replica: Replica
  readonly onRows: (rows: ReturnType<Replica['merge']>) => void
}

/** Creates the access to the duty's rows. */
export function createDutyStore ({ context, store, replica, onRows }: DutyStoreOptions): DutyStore {
  const { settings, log, counters } = context
  let known: { readonly value: string | undefined, readonly holder: DutyHolder | undefined } | undefined

  function recordFailure (call: 'read' | 'write', error: StoreError): { kind: 'failed' } {
    counters.count('store_calls', 'unavailable')
    log('dutyStoreFailed', { call, detail: error })
    return { kind: 'failed' }
  }

  function parseHolder (value: string | undefined): DutyHolder | undefined {
    if (value === undefined) return undefined
    try {
      return dutyHolderSchema.safeParse(JSON.parse(value)).data
    } catch {
      // The next acquisition writes the row again.
      return undefined
    }
  }

  return {
    read: async () => {
      const answer = await store.readTable(DUTY_TABLE)
      if (answer.isErr()) return recordFailure('read', answer.error)
      counters.count('store_calls', 'ok')
      const table = decodeDutyTable(answer.value.rows.map(({ key, value = '', version }) => ({ key, value, version })))
      if (table.leaseVersion !== 0 && table.lease === undefined) log('dutyLeaseUnreadable', { version: table.leaseVersion })
      return { kind: 'read', table }
    },
    write: async ({ leaseVersion, absentKeys, puts, removals, acquiredToken }) => {
      const holder: DutyHolder | undefined =
        acquiredToken === undefined ? undefined : { holder: settings.host, token: acquiredToken }
      const holderPuts = holder === undefined
        ? []
        : [{ table: MESH_TABLE, key: USAGE_HOLDER_KEY, value: JSON.stringify(holder) }]
      const answer = await store.write(
        [
          { table: DUTY_TABLE, key: LEASE_KEY, version: leaseVersion },
          ...absentKeys.map((key) => ({ table: DUTY_TABLE, key, version: 0 }))
        ],
        [...puts.map((put) => ({ table: DUTY_TABLE, ...put })), ...holderPuts],
        removals.map((key) => ({ table: DUTY_TABLE, key }))
      )
      if (answer.isErr()) return recordFailure('write', answer.error)
      if (answer.value.kind === 'conflict') {
        counters.count('store_calls', 'conflict')
        return { kind: 'conflict' }
      }
      counters.count('store_calls', 'ok')
      const { version } = answer.value
      onRows(replica.merge(holderPuts.map((put) => ({ ...put, version }))))
      return { kind: 'done', version }
    },
    getHolder: () => {
      const value = replica.get(MESH_TABLE, USAGE_HOLDER_KEY)?.value
      if (known?.value !== value || known === undefined) known = { value, holder: parseHolder(value) }
      return known.holder
    }
  }
}
