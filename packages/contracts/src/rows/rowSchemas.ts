import * as z from 'zod'

/** Row `configuration/current`: the accepted version and where its body lies. */
export const currentRowSchema = z.object({
  version: z.int().min(1),
  digest: z.string(),
  operationId: z.string()
})

/** Row `configuration/history/<version>`, the version padded to ten digits so that rows sort by it. */
export const historyRowSchema = currentRowSchema.extend({
  author: z.string(),
  acceptedAt: z.number(),
  summary: z.string()
})

/** Row `operation/<operation id>`: the version that an operation led to. */
export const operationRowSchema = z.object({ version: z.int().min(1), digest: z.string() })

/** Row `lease/<name>`. `expiresAt` is wall-clock milliseconds; `fencing` rises with each change of holder. */
export const leaseRowSchema = z.object({
  holder: z.string(),
  fencing: z.int().min(1),
  expiresAt: z.number()
})

/** Row `contact/<data centre>/<n>`: where a relay can be reached. `writtenAt` is wall-clock milliseconds. */
export const contactRowSchema = z.object({
  host: z.string(),
  peerAddress: z.string(),
  adminAddress: z.string(),
  writtenAt: z.number()
})

export type CurrentRow = z.output<typeof currentRowSchema>
export type HistoryRow = z.output<typeof historyRowSchema>
export type OperationRow = z.output<typeof operationRowSchema>
export type LeaseRow = z.output<typeof leaseRowSchema>
export type ContactRow = z.output<typeof contactRowSchema>

export const CURRENT_ROW = 'configuration/current'
export const HISTORY_PREFIX = 'configuration/history/'

const VERSION_DIGITS = 10

/** Key of the history row for a version. */
export function formatHistoryKey (version: number): string {
  return HISTORY_PREFIX + String(version).padStart(VERSION_DIGITS, '0')
}
