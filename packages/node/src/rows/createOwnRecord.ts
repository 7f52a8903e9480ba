import type { HostRecord } from '@snipenotch/contracts'
import type { InstanceState } from '@snipenotch/decisions'
import type { NodeContext } from '../NodeContext.js'
import { formatAddress } from '../peers/parseAddress.js'
import type { HostRecorder } from './createHostRecorder.js'
import type { MeshView } from './createMeshView.js'

/** The record of this host, which other nodes and later processes of this one read. */
export interface OwnRecord {
  /** Publishes what others need to know of the backend server, if it has changed. */
  readonly update: () => void
  /** Keeps to the leave of a run that an earlier process of this node acknowledged. */
  readonly applyLeave: () => void
}

export interface OwnRecordOptions {
  readonly context: NodeContext
  readonly view: Pick<MeshView, 'getHost'>
  readonly instance: InstanceState
  readonly recorder: HostRecorder
  readonly isVersionCut: () => boolean
}

/** Creates the record of the host in the settings; nothing is published before the backend server is known. */
export function createOwnRecord ({ context, view, instance, recorder, isVersionCut }: OwnRecordOptions): OwnRecord {
  const { settings, clock, log } = context

  function composeRecord (): HostRecord | undefined {
    const run = instance.getRun()
    if (run === undefined) return undefined
    const leaving = instance.getLeavingSince() !== undefined
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
      versionCut: isVersionCut()
    }
  }

  function update (): void {
    const record = composeRecord()
    if (record === undefined) return
    const known = view.getHost(settings.host)
    // A sequence number alone is no reason to write; it is carried along for a later process of this node.
    const isSame = known !== undefined &&
      JSON.stringify({ ...known, sequence: 0 }) === JSON.stringify({ ...record, sequence: 0 })
    recorder.set(isSame ? known : record)
  }

  return {
    update,
    applyLeave: () => {
      const record = view.getHost(settings.host)
      if (record?.leaving !== true || record.service !== settings.service) return
      if (instance.getLeavingSince() !== undefined) return
      instance.applyLeave(record.instance, record.startedAt, clock.now())
      // Another run may be beside the node by now.
      if (instance.getLeavingSince() === undefined) return
      log('leaveRecalled', { instance: record.instance, startedAt: record.startedAt })
      update()
    }
  }
}
