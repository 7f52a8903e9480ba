import { readFileSync } from 'node:fs'

/** CPU time and resident memory of a process. */
export interface ProcessReading {
  readonly cpuMs: number
  readonly residentBytes: number
}

/** Clock ticks of `/proc/PID/stat` on Linux, in milliseconds. */
const TICK_MS = 10

/** Reads a process's CPU time (user and system) and resident memory from Linux's `/proc`. */
export function readProcess (pid: number): ProcessReading {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const status = readFileSync(`/proc/${pid}/status`, 'utf8')
  const resident = /^VmRSS:\s+(\d+) kB/m.exec(status)?.[1] ?? '0'
  return { cpuMs: (Number(fields[11]) + Number(fields[12])) * TICK_MS, residentBytes: Number(resident) * 1024 }
}
