import { type HostRecord, toMilliseconds } from '@snipenotch/contracts'
import type { BackendJob } from '../src/home/BackendJob.js'

/** Creates a job for a backend server of the service "parts". */
export function createJob (given: Partial<BackendJob> = {}): BackendJob {
  return {
    service: 'parts',
    route: 'r-parts',
    priority: 1,
    idempotent: true,
    targetAt: toMilliseconds(1200),
    deadlineAt: toMilliseconds(2000),
    targetLatencyMs: 200,
    attemptId: 'id-1',
    callerService: 'clocks',
    method: 'GET',
    target: '/parts/1',
    headers: [],
    body: Buffer.alloc(0),
    isInternal: false,
    isBodyFetched: false,
    arrivedAt: toMilliseconds(0),
    ...given
  }
}

/** Creates the record of a host that serves "parts". */
export function createRecord (host: string, given: Partial<HostRecord> = {}): HostRecord {
  return {
    host,
    dataCentre: 'krakow',
    service: 'parts',
    requestAddress: '127.0.0.1:1',
    peerAddress: '127.0.0.1:2',
    linkMbps: 140,
    serving: true,
    leaving: false,
    instance: `i-${host}`,
    startedAt: 0,
    sequence: 0,
    version: 'v1',
    slots: 8,
    versionCut: false,
    cutOrder: 0,
    provenOrder: 0,
    ...given
  }
}
