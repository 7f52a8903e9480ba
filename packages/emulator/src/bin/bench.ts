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

interface BenchRunOptions {
  readonly seed: number
  readonly counts: number[] | undefined
  /** Whether to run fewer and smaller cases, as when all benchmarks run. */
  readonly short: boolean
}

/** Options as parsed by `cac`; an option that is given more than once is an array. */
interface CliOptions {
  readonly seed?: string | number | Array<string | number>
  readonly counts?: string | number | Array<string | number>
  readonly json?: string | number | Array<string | number>
}

class UsageError extends Error {}

const BENCHES = {
  convergence: ({ seed, counts, short }: BenchRunOptions) => {
    const reports = runConvergenceBench({ counts: counts ?? (short ? [100] : [100, 400]), seed })
    printConvergenceReports(reports)
    return reports
  },
  latency: async ({ short }: BenchRunOptions) => {
    const result = await runLatencyBench(short ? { rates: [200], rounds: 1, durationMs: 2000 } : {})
    process.stdout.write(formatLatencyBench(result))
    return result
  },
  overload: ({ seed }: BenchRunOptions) => {
    const result = runOverloadBench({ seed })
    printOverloadTable(result)
    return result
  },
  rollouts: ({ seed, short }: BenchRunOptions) => {
    const figures = runRolloutBench({ seeds: Array.from({ length: short ? 3 : 20 }, (_, index) => seed + index) })
    printRolloutFigures(figures)
    return figures
  },
  resources: async ({ seed, counts, short }: BenchRunOptions) => {
    const reports = await runResourcesBench(short
      ? { counts: [4], seed, idleMs: 3000, publishes: 3 }
      : { counts: counts ?? [4, 8, 16, 32], seed })
    process.stdout.write(formatResourcesReports(reports) + '\n')
    return reports
  }
}

type BenchName = keyof typeof BENCHES

const BENCH_NAMES = Object.keys(BENCHES) as BenchName[]
const BENCHES_WITH_COUNTS: readonly BenchName[] = ['convergence', 'resources']

function parsePositiveInteger (text: string, option: string): number {
  if (!/^[1-9]\d{0,5}$/.test(text)) throw new UsageError(`${option}: found "${text}", expected a positive integer below 1000000`)
  return Number(text)
}

function parseOptions (
  name: string | undefined, options: CliOptions
): { names: readonly BenchName[], plan: BenchRunOptions, file: string | undefined } {
  const selected = BENCH_NAMES.find((candidate) => candidate === name)
  if (name !== undefined && selected === undefined) {
    throw new UsageError(`unknown benchmark "${name}", expected one of ${BENCH_NAMES.join(', ')}`)
  }
  const { seed = 1, counts, json } = options
  if (counts !== undefined && (selected === undefined || !BENCHES_WITH_COUNTS.includes(selected))) {
    throw new UsageError(`--counts: only allowed with ${BENCHES_WITH_COUNTS.join(' or ')}`)
  }
  if (json !== undefined && (typeof json !== 'string' || json === '')) throw new UsageError('--json: expected exactly one file name')
  return {
    names: selected === undefined ? BENCH_NAMES : [selected],
    plan: {
      seed: parsePositiveInteger(String(seed), '--seed'),
      counts: counts === undefined ? undefined : String(counts).split(',').map((text) => parsePositiveInteger(text, '--counts')),
      short: selected === undefined
    },
    file: json
  }
}

async function runBenches (name: string | undefined, options: CliOptions): Promise<void> {
  const { names, plan, file } = parseOptions(name, options)
  const results: Partial<Record<BenchName, unknown>> = {}
  for (const bench of names) {
    process.stdout.write(`${bench}, seed ${plan.seed}\n`)
    results[bench] = await BENCHES[bench](plan)
  }
  if (file !== undefined) writeFileSync(file, JSON.stringify({ seed: plan.seed, results }, undefined, 2) + '\n')
}

const program = cac('bench')
program.command('[name]', `Run one of ${BENCH_NAMES.join(', ')}; without a name, run a short form of all`)
  .option('--seed <n>', 'Random seed (default: 1)')
  .option('--counts <list>', 'Comma-separated node counts for convergence or resources')
  .option('--json <file>', 'Also write the results to FILE as JSON')
  .action(runBenches)
program.help()

try {
  program.parse(process.argv, { run: false })
  if (program.args.length > 1) throw new UsageError(`found ${program.args.length} benchmark names, expected at most one`)
  if (program.options['help'] !== true) await program.runMatchedCommand()
} catch (error) {
  const isUsage = error instanceof UsageError || (error instanceof Error && error.name === 'CACError')
  process.stderr.write(`bench: ${error instanceof Error ? error.message : String(error)}\n`)
  process.exitCode = isUsage ? EXIT_USAGE : EXIT_FAILED
}
