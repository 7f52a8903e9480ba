import * as z from 'zod'
import { MAX_SEQUENCE, MAX_STARTED_AT_MS } from './reportLimits.js'

/** Maximum number of entries of each list; a report stays well below 256 KiB. */
export const MAX_REPORTED_SUSPECTS = 512
/** Longest age of an entry, in milliseconds: one day. */
const MAX_AGE_MS = 86_400_000

const fingerprintSchema = z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 digest in hexadecimal digits')
/** Ages instead of times, because the clocks of two hosts are unrelated. */
const ageSchema = z.number().nonnegative().max(MAX_AGE_MS)

/** What one node tells others of its service about requests that crash backend servers. */
export const suspectReportSchema = z.object({
  /** Fingerprints of requests in flight at a crash, one entry for each crash. */
  suspects: z.array(z.object({
    fingerprint: fingerprintSchema,
    /** Host of the backend server that crashed. */
    host: z.string().min(1).max(200),
    /** Wall-clock start of the run that crashed, in milliseconds since the Unix epoch; 0 if unknown. */
    incarnation: z.number().int().nonnegative().max(MAX_STARTED_AT_MS),
    /** Distinguishes the crashes that one process of the node has detected. */
    crash: z.number().int().nonnegative().max(MAX_SEQUENCE),
    /** Time since the crash, in milliseconds. */
    ageMs: ageSchema
  })).max(MAX_REPORTED_SUSPECTS),
  /** Fingerprints that were cleared by a successful request, and the time since then in milliseconds. */
  cleared: z.array(z.object({ fingerprint: fingerprintSchema, ageMs: ageSchema })).max(MAX_REPORTED_SUSPECTS)
})

/** Requests that have crashed backend servers, as sent between the nodes of a service. */
export type SuspectReport = z.infer<typeof suspectReportSchema>
