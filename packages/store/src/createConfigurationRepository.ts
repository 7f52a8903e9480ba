import {
  checkConsistency, configurationSchema, CURRENT_ROW_KEY, currentRowSchema, digestValue, formatCanonicalJson,
  formatHistoryKey, HISTORY_KEY_PREFIX, historyRowSchema, leaseRowSchema, operationRowSchema,
  type Configuration, type CurrentRow, type HistoryRow, type OperationRow
} from '@snipenotch/contracts'
import { Err, Ok, type Result } from 'ts-results-es'
import type * as z from 'zod'
import type { ObjectStore } from './ObjectStore.js'
import { formatPlatformError } from './PlatformError.js'
import { type PublishError, toPublishError } from './PublishError.js'
import type { Condition, Row, TableService } from './TableService.js'

/** A configuration with its digest; absent parts mean that nothing has been published yet. */
export interface StoredConfiguration {
  readonly digest: string
  readonly configuration: Configuration
}

/** Lease that a publish depends on: the write fails unless the lease row still has this fencing number. */
export interface Fence {
  readonly lease: string
  readonly fencing: number
}

/** Builds the next configuration from the one in force, or undefined if there is nothing to change. */
export type Compose = (previous: Configuration | undefined) => Configuration | undefined

export interface PublishOutcome {
  readonly version: number
  readonly digest: string
  /** False if an earlier attempt with the same operation id had already published, or nothing had to change. */
  readonly written: boolean
}

interface PublishBase {
  readonly revision: number
  readonly digest: string
  readonly configuration: Configuration | undefined
}

export interface ConfigurationRepository {
  readCurrent: () => Promise<Result<CurrentRow | undefined, PublishError>>
  readBody: (digest: string) => Promise<Result<Configuration, PublishError>>
  readAccepted: () => Promise<Result<StoredConfiguration | undefined, PublishError>>
  /** Newest first. */
  listHistory: (limit: number) => Promise<Result<HistoryRow[], PublishError>>
  publish: (operationId: string, compose: Compose, fence?: Fence) => Promise<Result<PublishOutcome, PublishError>>
}

function parseRow<Schema extends z.ZodType> (schema: Schema, row: Row): Result<z.output<Schema>, PublishError> {
  const parsed = schema.safeParse(row.value)
  return parsed.success ? Ok(parsed.data) : Err({ kind: 'corrupt', detail: `row ${row.key}: ${parsed.error.message}` })
}

/** Reads and advances the accepted configuration through the platform's conditional writes. */
export function createConfigurationRepository (table: TableService, objects: ObjectStore): ConfigurationRepository {
  async function readRow<Schema extends z.ZodType> (
    key: string, schema: Schema
  ): Promise<Result<{ revision: number, value: z.output<Schema> } | undefined, PublishError>> {
    const row = await table.read(key)
    if (row.isErr()) return Err(toPublishError(row.error))
    const found = row.value
    if (found === undefined) return Ok(undefined)
    return parseRow(schema, found).map((value) => ({ revision: found.revision, value }))
  }

  async function readBody (digest: string): Promise<Result<Configuration, PublishError>> {
    const text = await objects.read(`configurations/${digest}`)
    if (text.isErr()) return Err(toPublishError(text.error))
    if (text.value === undefined) return Err({ kind: 'corrupt', detail: `object configurations/${digest} is absent` })
    let value: unknown
    try {
      value = JSON.parse(text.value)
    } catch {
      return Err({ kind: 'corrupt', detail: `object configurations/${digest} is not JSON` })
    }
    const parsed = configurationSchema.safeParse(value)
    if (!parsed.success) return Err({ kind: 'corrupt', detail: `object configurations/${digest}: ${parsed.error.message}` })
    const found = digestValue(parsed.data)
    if (found !== digest) return Err({ kind: 'corrupt', detail: `found digest ${found}, expected ${digest}` })
    return Ok(parsed.data)
  }

  async function readAccepted (): Promise<Result<StoredConfiguration | undefined, PublishError>> {
    const current = await readRow(CURRENT_ROW_KEY, currentRowSchema)
    if (current.isErr()) return current
    if (current.value === undefined) return Ok(undefined)
    const { digest } = current.value.value
    return (await readBody(digest)).map((configuration) => ({ digest, configuration }))
  }

  async function readOperation (operationId: string): Promise<Result<OperationRow | undefined, PublishError>> {
    return (await readRow(`operation/${operationId}`, operationRowSchema)).map((row) => row?.value)
  }

  async function readFence (fence: Fence): Promise<Result<Condition, PublishError>> {
    const row = await readRow(`lease/${fence.lease}`, leaseRowSchema)
    if (row.isErr()) return row
    if (row.value?.value.fencing !== fence.fencing) return Err({ kind: 'fenced', lease: fence.lease })
    return Ok({ key: `lease/${fence.lease}`, revision: row.value.revision })
  }

  /** Tells what became of a transaction that was refused or whose answer did not come. */
  async function resolveAttempt (
    operationId: string, detail: string | undefined
  ): Promise<Result<PublishOutcome, PublishError>> {
    const operation = await readOperation(operationId)
    if (operation.isErr()) return Err({ kind: 'outcome-unknown', detail: detail ?? 'operation row could not be read' })
    if (operation.value !== undefined) return Ok({ ...operation.value, written: true })
    if (detail !== undefined) return Err({ kind: 'outcome-unknown', detail })
    const accepted = await readAccepted()
    if (accepted.isErr()) return accepted
    const winner = accepted.value?.configuration
    return Err({ kind: 'lost-race', version: winner?.version ?? 0, author: winner?.author ?? '' })
  }

  /** Reads what a publish builds on: the current row's revision, and the configuration it names. */
  async function readBase (): Promise<Result<PublishBase, PublishError>> {
    const current = await readRow(CURRENT_ROW_KEY, currentRowSchema)
    if (current.isErr()) return current
    if (current.value === undefined) return Ok({ revision: 0, digest: '', configuration: undefined })
    const { revision, value: { digest } } = current.value
    return (await readBody(digest)).map((configuration) => ({ revision, digest, configuration }))
  }

  /** Stores the body, then advances the current row in one transaction. */
  async function writeNext (
    next: Configuration, operationId: string, conditions: readonly Condition[], fence: Fence | undefined
  ): Promise<Result<PublishOutcome, PublishError>> {
    const digest = digestValue(next)
    const stored = await objects.write(`configurations/${digest}`, formatCanonicalJson(next))
    if (stored.isErr()) return Err(toPublishError(stored.error))
    const row = { version: next.version, digest, operationId }
    const history = { ...row, author: next.author, acceptedAt: next.acceptedAt, summary: next.summary }
    const operationKey = `operation/${operationId}`
    const written = await table.transact({
      conditions: [...conditions, { key: operationKey, revision: 0 }],
      writes: [
        { key: CURRENT_ROW_KEY, value: row },
        { key: formatHistoryKey(next.version), value: history },
        { key: operationKey, value: { version: next.version, digest } }
      ]
    })
    if (written.isOk()) return Ok({ version: next.version, digest, written: true })
    const { error } = written
    if (error.kind === 'conflict' && fence !== undefined && error.key === `lease/${fence.lease}`) {
      return Err({ kind: 'fenced', lease: fence.lease })
    }
    return await resolveAttempt(operationId, error.kind === 'conflict' ? undefined : formatPlatformError(error))
  }

  async function publish (
    operationId: string, compose: Compose, fence?: Fence
  ): Promise<Result<PublishOutcome, PublishError>> {
    const earlier = await readOperation(operationId)
    if (earlier.isErr()) return earlier
    if (earlier.value !== undefined) return Ok({ ...earlier.value, written: false })
    const fenceCondition = fence === undefined ? undefined : await readFence(fence)
    if (fenceCondition?.isErr() === true) return fenceCondition
    const base = await readBase()
    if (base.isErr()) return base
    const { revision, digest, configuration } = base.value
    const next = compose(configuration)
    if (next === undefined) return Ok({ version: configuration?.version ?? 0, digest, written: false })
    const faults = checkConsistency(next)
    if (faults.length > 0) return Err({ kind: 'rejected', faults })
    const conditions = fenceCondition?.isOk() === true ? [fenceCondition.value] : []
    return await writeNext(next, operationId, [...conditions, { key: CURRENT_ROW_KEY, revision }], fence)
  }

  return {
    readCurrent: async () => (await readRow(CURRENT_ROW_KEY, currentRowSchema)).map((row) => row?.value),
    readBody,
    readAccepted,
    listHistory: async (limit) => {
      const rows = await table.list(HISTORY_KEY_PREFIX, { limit, reverse: true })
      if (rows.isErr()) return Err(toPublishError(rows.error))
      const parsed: HistoryRow[] = []
      for (const row of rows.value) {
        const history = parseRow(historyRowSchema, row)
        if (history.isErr()) return history
        parsed.push(history.value)
      }
      return Ok(parsed)
    },
    publish
  }
}
