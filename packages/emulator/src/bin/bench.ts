#!/usr/bin/env node
import { writeFileSync } from 'node:fs'
import { cac } from 'cac'
import { printConvergenceReports, runConvergenceBench } from '../bench/convergence.js'
import { formatLatencyBench, runLatencyBench } from '../bench/latency.js'
import { printOverloadTable, runOverloadBench } from '../bench/overload.js'
import { formatResourcesReports, runResourcesBench } from '../bench/resources.js'
import { printRolloutFigures, runRolloutBench } from '../bench/rollouts.js'

const EXIT_FAILED = 1
const EXIT_USAGE = 2

interface BenchPlan {
  readonly seed: number
  readonly counts: number[] | undefined
  /** Fewer and smaller cases, for a run of all benches. */
  readonly short: boolean
}

/** Options as `cac` leaves them; an option given twice is an array. */
interface BenchOptions {
  readonly seed?: string | number | Array<string | number>
  readonly counts?: string | number | Array<string | number>
  readonly json?: string | number | Array<string | number>
}

class UsageError extends Error {}

const BENCHES = {
  convergence: ({ seed, counts, short }: BenchPlan) => {
    const reports = runConvergenceBench({ counts: counts ?? (short ? [100] : [100, 400]), seed })
    printConvergenceReports(reports)
    return reports
  },
  latency: async ({ short }: BenchPlan) => {
    const result = await runLatencyBench(short ? { rates: [200], rounds: 1, durationMs: 2000 } : {})
    process.stdout.write(formatLatencyBench(result))
    return result
  },
  overload: ({ seed }: BenchPlan) => {
    const result = runOverloadBench({ seed })
    printOverloadTable(result)
    return result
  },
  rollouts: ({ seed, short }: BenchPlan) => {
    const figures = runRolloutBench({ seeds: Array.from({ length: short ? 3 : 20 }, (_, index) => seed + index) })
    printRolloutFigures(figures)
    return figures
  },
  resources: async ({ seed, counts, short }: BenchPlan) => {
    const reports = await runResourcesBench(short
      ? { counts: [4], seed, idleMs: 3000, publishes: 3 }
      : { counts: counts ?? [4, 8, 16, 32], seed })
    process.stdout.write(formatResourcesReports(reports) + '\n')
    return reports
  }
}

type BenchName = keyof typeof BENCHES

const NAMES = Object.keys(BENCHES) as BenchName[]
const COUNTED: readonly BenchName[] = ['convergence', 'resources']

function parsePositive (text: string, option: string): number {
  if (!/^[1-9]\d{0,5}$/.test(text)) throw new UsageError(`${option}: found "${text}", expected a whole number above 0`)
  return Number(text)
}

function parseOptions (
  name: string | undefined, options: BenchOptions
): { names: readonly BenchName[], plan: BenchPlan, file: string | undefined } {
  const chosen = NAMES.find((candidate) => candidate === name)
  if (name !== undefined && chosen === undefined) {
    throw new UsageError(`unknown bench "${name}", expected one of ${NAMES.join(', ')}`)
  }
  const { seed = 1, counts, json } = options
  if (counts !== undefined && (chosen === undefined || !COUNTED.includes(chosen))) {
    throw new UsageError(`--counts: expected only with ${COUNTED.join(' or ')}`)
  }
  if (json !== undefined && (typeof json !== 'string' || json === '')) throw new UsageError('--json: expected one file name')
  return {
    names: chosen === undefined ? NAMES : [chosen],
    plan: {
      seed: parsePositive(String(seed), '--seed'),
      counts: counts === undefined ? undefined : String(counts).split(',').map((text) => parsePositive(text, '--counts')),
      short: chosen === undefined
    },
    file: json
  }
}

async function runBenches (name: string | undefined, options: BenchOptions): Promise<void> {
  const { names, plan, file } = parseOptions(name, options)
  const results: Partial<Record<BenchName, unknown>> = {}
  for (const bench of names) {
    process.stdout.write(`${bench}, seed ${plan.seed}\n`)
    results[bench] = await BENCHES[bench](plan)
  }
  if (file !== undefined) writeFileSync(file, JSON.stringify({ seed: plan.seed, results }, undefined, 2) + '\n')
}

const program = cac('bench')
program.command('[name]', `Run one of ${NAMES.join(', ')}; without a name, all in a short form`)
  .option('--seed <n>', 'Seed of the run (default: 1)')
  .option('--counts <list>', 'Node counts of convergence or resources, separated by commas')
  .option('--json <file>', 'Also write the results to FILE as JSON')
  .action(runBenches)
program.help()

try {
  program.parse(process.argv, { run: false })
  if (program.args.length > 1) throw new UsageError(`found ${program.args.length} names, expected at most one`)
  if (program.options['help'] !== true) await program.runMatchedCommand()
} catch (error) {
  const isUsage = error instanceof UsageError || (error instanceof Error && error.name === 'CACError')
  process.stderr.write(`bench: ${error instanceof Error ? error.message : String(error)}\n`)
  process.exitCode = isUsage ? EXIT_USAGE : EXIT_FAILED
}
