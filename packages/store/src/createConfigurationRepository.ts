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

/** A configuration and its digest. */
export interface StoredConfiguration {
  readonly digest: string
  readonly configuration: Configuration
}

/** Fencing token of a lease. A publish with a token fails unless the lease row still has this fencing number. */
export interface FencingToken {
  readonly lease: string
  readonly fencing: number
}

/** Builds the next configuration from the one in force. Returns undefined if there is nothing to change. */
export type ConfigurationComposer = (previous: Configuration | undefined) => Configuration | undefined

/** Version and digest that the operation published, or those in force if there was nothing to change. */
export interface PublishOutcome {
  readonly version: number
  readonly digest: string
  /** False if an earlier attempt with the same operation id was already published, or there was nothing to change. */
  readonly written: boolean
}

/** State on which a publish builds: the current row's revision and its configuration. */
interface PublishBase {
  readonly revision: number
  readonly digest: string
  readonly configuration: Configuration | undefined
}

/** Reads and publishes configurations in the platform's store. */
export interface ConfigurationRepository {
  /** Reads the current row; undefined if nothing has been published. */
  readCurrent: () => Promise<Result<CurrentRow | undefined, PublishError>>
  /** Reads the configuration with the given digest and verifies the digest. */
  readBody: (digest: string) => Promise<Result<Configuration, PublishError>>
  /** Reads the accepted configuration; undefined if nothing has been published. */
  readAccepted: () => Promise<Result<StoredConfiguration | undefined, PublishError>>
  /** Lists the latest history rows, newest first. */
  listHistory: (limit: number) => Promise<Result<HistoryRow[], PublishError>>
  /** Publishes the composed configuration. Idempotent per operation id. */
  publish: (
    operationId: string, compose: ConfigurationComposer, fencingToken?: FencingToken
  ) => Promise<Result<PublishOutcome, PublishError>>
}

function parseRow<Schema extends z.ZodType> (schema: Schema, row: Row): Result<z.output<Schema>, PublishError> {
  const parsed = schema.safeParse(row.value)
  return parsed.success ? Ok(parsed.data) : Err({ kind: 'corrupt', detail: `row ${row.key}: ${parsed.error.message}` })
}

/** Creates a repository that publishes through conditional writes to `table` and stores bodies in `objects`. */
export function createConfigurationRepository (table: TableService, objects: ObjectStore): ConfigurationRepository {
  async function readRow<Schema extends z.ZodType> (
    key: string, schema: Schema
  ): Promise<Result<{ revision: number, value: z.output<Schema> } | undefined, PublishError>> {
    const row = await table.read(key)
    if (row.isErr()) return Err(toPublishError(row.error))
    const storedRow = row.value
    if (storedRow === undefined) return Ok(undefined)
    return parseRow(schema, storedRow).map((value) => ({ revision: storedRow.revision, value }))
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
    const actualDigest = digestValue(parsed.data)
    if (actualDigest !== digest) return Err({ kind: 'corrupt', detail: `found digest ${actualDigest}, expected ${digest}` })
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

  async function checkFencingToken (fencingToken: FencingToken): Promise<Result<Condition, PublishError>> {
    const row = await readRow(`lease/${fencingToken.lease}`, leaseRowSchema)
    if (row.isErr()) return row
    if (row.value?.value.fencing !== fencingToken.fencing) return Err({ kind: 'fenced', lease: fencingToken.lease })
    return Ok({ key: `lease/${fencingToken.lease}`, revision: row.value.revision })
  }

  /** Determines the outcome of a transaction that was refused, or whose response was lost (`detail` says how). */
  async function resolveOutcome (
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

  /** Reads the current row's revision and the configuration that the row refers to. */
  async function readBase (): Promise<Result<PublishBase, PublishError>> {
    const current = await readRow(CURRENT_ROW_KEY, currentRowSchema)
    if (current.isErr()) return current
    if (current.value === undefined) return Ok({ revision: 0, digest: '', configuration: undefined })
    const { revision, value: { digest } } = current.value
    return (await readBody(digest)).map((configuration) => ({ revision, digest, configuration }))
  }

  /** Stores the body, then updates the current row and writes the history and operation rows in one transaction. */
  async function writeConfiguration (
    next: Configuration, operationId: string, conditions: readonly Condition[],
    fencingToken: FencingToken | undefined
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
    if (error.kind === 'conflict' && fencingToken !== undefined && error.key === `lease/${fencingToken.lease}`) {
      return Err({ kind: 'fenced', lease: fencingToken.lease })
    }
    return await resolveOutcome(operationId, error.kind === 'conflict' ? undefined : formatPlatformError(error))
  }

  async function publish (
    operationId: string, compose: ConfigurationComposer, fencingToken?: FencingToken
  ): Promise<Result<PublishOutcome, PublishError>> {
    const earlier = await readOperation(operationId)
    if (earlier.isErr()) return earlier
    if (earlier.value !== undefined) return Ok({ ...earlier.value, written: false })
    const leaseCondition = fencingToken === undefined ? undefined : await checkFencingToken(fencingToken)
    if (leaseCondition?.isErr() === true) return leaseCondition
    const base = await readBase()
    if (base.isErr()) return base
    const { revision, digest, configuration } = base.value
    const next = compose(configuration)
    if (next === undefined) return Ok({ version: configuration?.version ?? 0, digest, written: false })
    const violations = checkConsistency(next)
    if (violations.length > 0) return Err({ kind: 'rejected', violations })
    const conditions = leaseCondition?.isOk() === true ? [leaseCondition.value] : []
    return await writeConfiguration(
      next, operationId, [...conditions, { key: CURRENT_ROW_KEY, revision }], fencingToken
    )
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
