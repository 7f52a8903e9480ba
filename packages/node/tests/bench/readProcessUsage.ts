import { readFileSync } from 'node:fs'

/** Resources that a process has used since its start. */
export interface ProcessUsage {
  /** Processor time of the process and of the kernel for it, in milliseconds. */
  readonly cpuMs: number
  /** Calls of read and write, as the kernel counts them. */
  readonly systemCalls: number
  /** Times that the process went to sleep. */
  readonly wakeUps: number
}

/** Length of a clock tick of /proc/PID/stat, in milliseconds. */
const TICK_MS = 10

function findNumber (text: string, pattern: RegExp): number {
  return Number(pattern.exec(text)?.[1] ?? 0)
}

/** Reads the usage of a running process from /proc. */
export function readProcessUsage (pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  // The name in parentheses may contain spaces.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const io = readFileSync(`/proc/${pid}/io`, 'utf8')
  const status = readFileSync(`/proc/${pid}/status`, 'utf8')
  return {
    cpuMs: (Number(fields[11]) + Number(fields[12])) * TICK_MS,
    systemCalls: findNumber(io, /syscr: (\d+)/) + findNumber(io, /syscw: (\d+)/),
    wakeUps: findNumber(status, /\bvoluntary_ctxt_switches:\s+(\d+)/)
  }
}

/** Adds up what processes used between two readings. */
export function sumUsage (before: readonly ProcessUsage[], after: readonly ProcessUsage[]): ProcessUsage {
  const sum = (pick: (usage: ProcessUsage) => number): number =>
    after.reduce((total, usage) => total + pick(usage), 0) - before.reduce((total, usage) => total + pick(usage), 0)
  return {
    cpuMs: sum(({ cpuMs }) => cpuMs),
    systemCalls: sum(({ systemCalls }) => systemCalls),
    wakeUps: sum(({ wakeUps }) => wakeUps)
  }
}
