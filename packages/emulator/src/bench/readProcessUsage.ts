import { readFileSync } from 'node:fs'

/** CPU time and resident memory of a process. */
export interface ProcessUsage {
  readonly cpuMs: number
  readonly residentBytes: number
}

/** Length of a clock tick in `/proc/PID/stat` on Linux. */
const CLOCK_TICK_MS = 10

/** Reads the CPU time (user and system) and resident memory of a process from `/proc` on Linux. */
export function readProcessUsage (pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const status = readFileSync(`/proc/${pid}/status`, 'utf8')
  const resident = /^VmRSS:\s+(\d+) kB/m.exec(status)?.[1] ?? '0'
  return { cpuMs: (Number(fields[11]) + Number(fields[12])) * CLOCK_TICK_MS, residentBytes: Number(resident) * 1024 }
}
