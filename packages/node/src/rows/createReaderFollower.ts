import { chooseReader, type Replica, type ReplicaRow } from '@snipenotch/decisions'
import { Agent } from 'node:http'
import type { NodeContext } from '../NodeContext.js'
import { encodeRowsPath } from '../peers/createPeerServer.js'
import type { HostHealth } from '../peers/createHostHealth.js'
import { requestPeer } from '../peers/requestPeer.js'
import type { MeshView } from './createMeshView.js'
import { mergeUpdates } from './mergeUpdates.js'
import type { TableCursors } from './createTableCursors.js'
import { decodeRows, type RowsAnswer } from './rowsCodec.js'
import { FOLLOWED_TABLES } from './TABLES.js'

/** Takes rows from a host of the data centre that reads the store, so that not every node does. */
export interface ReaderFollower {
  readonly start: () => void
  readonly stop: () => void
  /** A reader brings the rows; the node itself need not read the store. */
  readonly isFollowing: () => boolean
}

export interface ReaderFollowerOptions {
  readonly context: NodeContext
  readonly view: MeshView
  readonly health: HostHealth
  readonly replica: Replica
  readonly cursors: TableCursors
  readonly onRows: (rows: readonly ReplicaRow[]) => void
  readonly onStoreTime: (storeTime: number) => void
}

/** Time for which a reader holds an answer, in milliseconds: a reader that ends is noticed after it. */
const WAIT_MS = 1000
/** Time beyond it until the reader counts as gone, in milliseconds: above a pause of a busy process. */
const ANSWER_SLACK_MS = 500
/** Time for which a reader that failed is not asked, in milliseconds: several status reports, a restart takes less. */
const AVOID_MS = 4000
/** Pause between two looks at the choice while the node reads the store itself, in milliseconds. */
const CHOICE_PERIOD_MS = 300

/** Creates a follower; until its first answer the node reads the store itself. */
export function createReaderFollower (options: ReaderFollowerOptions): ReaderFollower {
  const { context, view, health, replica, cursors, onRows, onStoreTime } = options
  const { settings, clock, log } = context
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  const avoidedUntil = new Map<string, number>()
  const stopping = new AbortController()
  let reader = settings.host

  const isUsable = (host: string): boolean =>
    !health.isDown(host) && (avoidedUntil.get(host) ?? 0) <= clock.now()

  /** Address of the reader; undefined if the node reads the store itself. */
  function chooseAddress (): string | undefined {
    const chosen = chooseReader(settings, view.listHosts(), isUsable)
    if (chosen !== reader) log('readerChosen', { reader: chosen, before: reader })
    reader = chosen
    return chosen === settings.host ? undefined : view.getHost(chosen)?.peerAddress
  }

  async function readChanges (address: string): Promise<RowsAnswer | undefined> {
    const after = FOLLOWED_TABLES.map((table) => cursors.get(table)?.version ?? 0)
    const body = await requestPeer(agent, address, encodeRowsPath(after, WAIT_MS), WAIT_MS + ANSWER_SLACK_MS)
    return body === undefined ? undefined : decodeRows(body)
  }

  async function takeChanges (address: string): Promise<void> {
    const answer = await readChanges(address)
    if (answer?.isConnected !== true) {
      avoidedUntil.set(reader, clock.now() + AVOID_MS)
      log('readerLost', { reader, detail: answer === undefined ? 'no answer' : 'the store does not answer it' })
      return
    }
    if (answer.storeTime > 0) onStoreTime(answer.storeTime)
    mergeUpdates(answer.updates, replica, cursors, onRows)
  }

  async function run (): Promise<void> {
    while (!stopping.signal.aborted) {
      const address = chooseAddress()
      if (address === undefined) await new Promise((resolve) => { setTimeout(resolve, CHOICE_PERIOD_MS) })
      else await takeChanges(address)
    }
  }

  return {
    start: () => { run().catch((error: unknown) => { log('internalError', { error: String(error) }) }) },
    stop: () => {
      stopping.abort()
      agent.destroy()
    },
    isFollowing: () => reader !== settings.host
  }
}
