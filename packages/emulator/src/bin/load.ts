#!/usr/bin/env node
import { writeFileSync } from 'node:fs'
import { setTimeout as awaitTime } from 'node:timers/promises'
import { addressSchema } from '@snipenotch/contracts'
import { cac } from 'cac'
import * as z from 'zod'
import { createSummary, formatSummary } from '../load/createSummary.js'
import { startLoad } from '../load/startLoad.js'

const EXIT_USAGE = 2

const optionsSchema = z.object({
  nodes: z.string().transform((text) => text.split(',')).pipe(z.array(addressSchema).min(1)),
  rate: z.number().positive(),
  seconds: z.number().positive(),
  seed: z.int(),
  lookup: z.string().optional(),
  order: z.string().optional(),
  upload: z.string().optional(),
  uploadBytes: z.int().min(1),
  duplicates: z.number().min(0).max(1),
  disconnects: z.number().min(0).max(1),
  records: z.string().optional()
})

async function sendLoad (options: z.output<typeof optionsSchema>): Promise<void> {
  const { nodes, rate, seconds, seed, lookup, order, upload, uploadBytes, duplicates, disconnects, records } = options
  const load = startLoad({
    nodes: () => nodes,
    ratePerSecond: rate,
    seed,
    duplicates,
    disconnects,
    mix: [
      ...(lookup === undefined ? [] : [{ kind: 'lookup', method: 'GET', path: lookup, weight: 8 } as const]),
      ...(order === undefined ? [] : [{ kind: 'order', method: 'POST', path: order, weight: 2 } as const]),
      ...(upload === undefined
        ? []
        : [{ kind: 'upload', method: 'PUT', path: upload, weight: 1, bodyBytes: uploadBytes } as const])
    ]
  })
  await awaitTime(seconds * 1000)
  const attempts = await load.stop()
  process.stdout.write(formatSummary(createSummary(attempts)) + '\n')
  if (records !== undefined) writeFileSync(records, attempts.map((entry) => JSON.stringify(entry) + '\n').join(''))
}

const program = cac('load')
program.command('', 'Send open-loop load to a mesh')
  .option('--nodes <addresses>', 'Comma-separated request addresses of nodes')
  .option('--rate <number>', 'Requests per second', { default: 100 })
  .option('--seconds <number>', 'Duration in seconds', { default: 10 })
  .option('--seed <number>', 'Random seed for arrival times, request kinds and nodes', { default: 1 })
  .option('--lookup <path>', 'Path of lookups (GET)')
  .option('--order <path>', 'Path of orders (POST with idempotency key)')
  .option('--upload <path>', 'Path of uploads (PUT)')
  .option('--upload-bytes <number>', 'Size of each upload in bytes', { default: 1_000_000 })
  .option('--duplicates <share>', 'Share of orders sent twice', { default: 0 })
  .option('--disconnects <share>', 'Share of callers that disconnect early', { default: 0 })
  .option('--records <file>', 'Write one JSON line per attempt to this file')
  .action(async (options: unknown) => {
    const parsed = optionsSchema.safeParse(options)
    if (parsed.success) await sendLoad(parsed.data)
    else {
      process.stderr.write(`load: ${z.prettifyError(parsed.error)}\n`)
      process.exitCode = EXIT_USAGE
    }
  })
program.help()
program.parse()
