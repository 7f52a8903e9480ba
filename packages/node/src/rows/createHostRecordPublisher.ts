import type { HostRecord } from '@snipenotch/contracts'
import type { InstanceState, VersionEvidence } from '@snipenotch/decisions'
import type { NodeContext } from '../NodeContext.js'
import { formatAddress } from '../peers/parseAddress.js'
import type { HostRecordWriter } from './createHostRecordWriter.js'
import type { MeshView } from './createMeshView.js'

/** Publishes the record of this host, which is read by other nodes and by this node after a restart. */
export interface HostRecordPublisher {
  /** Publishes the state of the backend server if it has changed. */
  readonly update: () => void
  /** Restores the draining state of a run that a previous process of this node acknowledged. */
  readonly applyRecordedDrain: () => void
}

/** Options of `createHostRecordPublisher`. */
export interface HostRecordPublisherOptions {
  readonly context: NodeContext
  readonly view: Pick<MeshView, 'getHost' | 'getRelease'>
  readonly instance: InstanceState
  readonly recordWriter: HostRecordWriter
  readonly evidence: Pick<VersionEvidence, 'findCut' | 'isProven'>
}

/** Creates a publisher for the host in the settings; it publishes nothing until the backend server is known. */
export function createHostRecordPublisher (
  { context, view, instance, recordWriter, evidence }: HostRecordPublisherOptions
): HostRecordPublisher {
  const { settings, clock, log } = context

  /** Returns the record that an earlier process of this node wrote, if its run has left since then. */
  function composeDepartedRecord (): HostRecord | undefined {
    const known = view.getHost(settings.host)
    if (known === undefined || known.service !== settings.service) return undefined
    return instance.hasLeft(known.instance, known.startedAt) ? { ...known, serving: false, leaving: true } : undefined
  }

  function composeRecord (): HostRecord | undefined {
    const run = instance.getRun()
    if (run === undefined) return composeDepartedRecord()
    const leaving = instance.getLeavingSince() !== undefined
    const release = view.getRelease(settings.service)
    const rollout = release?.rollout?.to === run.version ? release.rollout : undefined
    const cut = release === undefined || rollout === undefined ? undefined : evidence.findCut(release)
    const known = view.getHost(settings.host)
    // A new process of this node has no evidence of its own yet.
    const knownOrder = known?.instance === run.instance ? known.provenOrder : 0
    const isProven = release !== undefined && rollout !== undefined && evidence.isProven(release)
    if (!leaving && !instance.isConfirmed()) return undefined
    return {
      host: settings.host,
      dataCentre: settings.dataCentre,
      service: settings.service,
      requestAddress: formatAddress(settings.requests),
      peerAddress: formatAddress(settings.peers),
      linkMbps: settings.linkMbps,
      serving: instance.isServing(),
      leaving,
      instance: run.instance,
      startedAt: run.startedAt,
      sequence: run.sequence,
      version: run.version,
      slots: run.slots,
      versionCut: cut !== undefined,
      cutOrder: cut?.order ?? 0,
      provenOrder: isProven ? rollout.order : knownOrder
    }
  }

  function update (): void {
    const record = composeRecord()
    if (record === undefined) return
    const known = view.getHost(settings.host)
    // A new sequence number alone is not written; it is stored with other changes, for this node after a restart.
    const isSame = known !== undefined &&
      JSON.stringify({ ...known, sequence: 0 }) === JSON.stringify({ ...record, sequence: 0 })
    recordWriter.set(isSame ? known : record)
  }

  return {
    update,
    applyRecordedDrain: () => {
      const record = view.getHost(settings.host)
      // The leave may have arrived before the record was read.
      if (record?.leaving === false && instance.hasLeft(record.instance, record.startedAt)) update()
      if (record?.leaving !== true || record.service !== settings.service) return
      if (instance.getLeavingSince() !== undefined) return
      instance.applyLeave(record.instance, record.startedAt, clock.now())
      // The backend server may have been replaced by another run in the meantime.
      if (instance.getLeavingSince() === undefined) return
      log('leaveRecalled', { instance: record.instance, startedAt: record.startedAt })
      update()
    }
  }
}
