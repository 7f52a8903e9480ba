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

async function run (options: z.output<typeof optionsSchema>): Promise<void> {
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
  const all = await load.stop()
  process.stdout.write(formatSummary(createSummary(all)) + '\n')
  if (records !== undefined) writeFileSync(records, all.map((entry) => JSON.stringify(entry) + '\n').join(''))
}

const program = cac('load')
program.command('', 'Send open-loop load to a mesh')
  .option('--nodes <addresses>', 'Request addresses of nodes, separated by commas')
  .option('--rate <number>', 'Requests a second', { default: 100 })
  .option('--seconds <number>', 'Duration', { default: 10 })
  .option('--seed <number>', 'Seed of arrivals, kinds and nodes', { default: 1 })
  .option('--lookup <path>', 'Path of a lookup (GET)')
  .option('--order <path>', 'Path of an order (POST with key)')
  .option('--upload <path>', 'Path of an upload (PUT)')
  .option('--upload-bytes <number>', 'Size of an upload', { default: 1_000_000 })
  .option('--duplicates <share>', 'Share of orders sent twice', { default: 0 })
  .option('--disconnects <share>', 'Share of callers that disconnect early', { default: 0 })
  .option('--records <file>', 'File for one JSON line for each attempt')
  .action(async (options: unknown) => {
    const parsed = optionsSchema.safeParse(options)
    if (parsed.success) await run(parsed.data)
    else {
      process.stderr.write(`load: ${z.prettifyError(parsed.error)}\n`)
      process.exitCode = EXIT_USAGE
    }
  })
program.help()
program.parse()
