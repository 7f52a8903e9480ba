import type { InstanceState } from '@snipenotch/decisions'
import type { NodeContext } from '../NodeContext.js'
import type { HostRecordWriter } from '../rows/createHostRecordWriter.js'
import type { MeshView } from '../rows/createMeshView.js'
import { probeInstance } from './probeInstance.js'

/** Compares this host's record with its backend server when the node starts and when it stops. */
export interface RecordProbe {
  /**
   * Probes the backend server named in this host's record, once. If it answers, a restarted node can use it without
   * waiting for a status report.
   */
  readonly probe: () => Promise<void>
  /**
   * Removes the record if the backend server has ended. One that has left may go on serving for longer than this
   * process, and the next process must know that it leaves.
   */
  readonly removeIfEnded: () => Promise<void>
}

/** Options of `createRecordProbe`. */
export interface RecordProbeOptions {
  readonly context: Pick<NodeContext, 'settings' | 'clock' | 'log'>
  readonly view: Pick<MeshView, 'getHost' | 'getService'>
  readonly instance: InstanceState
  readonly recordWriter: Pick<HostRecordWriter, 'set'>
  /** Called if the backend server can be used again. */
  readonly onResumed: () => void
}

/** Creates the probe of a node that has not seen its host's record. */
export function createRecordProbe (
  { context: { settings, clock, log }, view, instance, recordWriter, onResumed }: RecordProbeOptions
): RecordProbe {
  let isProbed = false

  async function probe (): Promise<void> {
    const known = view.getHost(settings.host)
    const path = view.getService(settings.service)?.healthPath
    if (isProbed || known === undefined || path === undefined || instance.getRun() !== undefined) return
    isProbed = true
    if (!known.serving || known.service !== settings.service) return
    const report = await probeInstance(settings.backend, path)
    if (typeof report === 'string') {
      log('instanceResumed', { detail: report, expected: known.instance })
      return
    }
    log('instanceResumed', { ...report, expected: known.instance })
    if (report.instance !== known.instance || !report.isHealthy) return
    const { startedAt, sequence, version, slots } = known
    const run = { instance: known.instance, startedAt, sequence, version, slots, state: 'serving' } as const
    if (instance.resume(run, report.coldMs, clock.now())) onResumed()
  }

  async function removeIfEnded (): Promise<void> {
    const hasLeft = (): boolean => instance.getRun()?.state === 'gone'
    const path = view.getService(settings.service)?.healthPath
    const isRefused = hasLeft() && path !== undefined && await probeInstance(settings.backend, path) === 'refused'
    // A later run may have reported meanwhile.
    if (instance.isDown() || (isRefused && hasLeft())) recordWriter.set(undefined)
  }

  return { probe, removeIfEnded }
}
