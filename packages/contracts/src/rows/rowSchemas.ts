import * as z from 'zod'
import { remoteAddressSchema } from '../settings/addressSchema.js'

/** Row `configuration/current`: the accepted version and the digest under which its body is stored. */
export const currentRowSchema = z.object({
  version: z.int().min(1),
  digest: z.string(),
  operationId: z.string()
})

/** Row `configuration/history/<version>`. The version is zero-padded to ten digits so that keys sort numerically. */
export const historyRowSchema = currentRowSchema.extend({
  author: z.string(),
  acceptedAt: z.number(),
  summary: z.string()
})

/** Row `operation/<operation id>`: the version that an operation published. */
export const operationRowSchema = z.object({ version: z.int().min(1), digest: z.string() })

/** Row `lease/<name>`. `expiresAt` is wall-clock milliseconds; the fencing token increases with each new holder. */
export const leaseRowSchema = z.object({
  holder: z.string(),
  fencing: z.int().min(1),
  expiresAt: z.number()
})

/** Row `contact/<data centre>/<n>`: addresses of a relay. `writtenAt` is wall-clock milliseconds. */
export const contactRowSchema = z.object({
  host: z.string(),
  peerAddress: remoteAddressSchema,
  adminAddress: remoteAddressSchema,
  writtenAt: z.number()
})

/** Row that names the accepted configuration. */
export type CurrentRow = z.output<typeof currentRowSchema>
/** Row that describes one published version. */
export type HistoryRow = z.output<typeof historyRowSchema>
/** Row that maps an operation to the version that it published. */
export type OperationRow = z.output<typeof operationRowSchema>
/** Row that holds the state of a lease. */
export type LeaseRow = z.output<typeof leaseRowSchema>
/** Row that holds the addresses of a relay. */
export type ContactRow = z.output<typeof contactRowSchema>

/** Key of the row that names the accepted configuration. */
export const CURRENT_ROW_KEY = 'configuration/current'
/** Prefix of the keys of history rows. */
export const HISTORY_KEY_PREFIX = 'configuration/history/'

const VERSION_DIGITS = 10

/** Formats the key of the history row of a version. */
export function formatHistoryKey (version: number): string {
  return HISTORY_KEY_PREFIX + String(version).padStart(VERSION_DIGITS, '0')
}
