import type { Endpoint } from '@snipenotch/contracts'
import { type ControlAction, type ControlEvent, createControlCore } from '@snipenotch/decisions'
import { csp } from '../csp.js'
import type { ControlPlane, PooledEvidence } from '../node/ControlPlane.js'
import type { NodeContext } from '../node/NodeContext.js'
import { createPeerSockets } from './createPeerSockets.js'
import { createStoreClient } from './createStoreClient.js'

const TICK_INTERVAL_MS = 250
/** Events that may wait for the loop; beyond that the link that sent one is closed. */
const MAX_WAITING_EVENTS = 16_384

function composeEndpoint ({ settings, identity }: NodeContext): Endpoint {
  const { advertise, backend, listen } = settings
  return {
    ...identity,
    sequence: 0,
    state: 'starting',
    slots: backend?.slots ?? 0,
    warmSlots: 0,
    requestAddress: advertise.requests ?? listen.requests,
    peerAddress: advertise.peers ?? listen.peers,
    adminAddress: advertise.admin ?? listen.admin,
    ...(backend === undefined ? {} : { service: backend.service, version: backend.version })
  }
}

/** Runs the control core: feeds it what happens on sockets and in the store, and carries out what it decides. */
export function createControlPlane (context: NodeContext): ControlPlane {
  const { settings, clock, log, counters } = context
  const core = createControlCore({
    self: composeEndpoint(context), scope: settings.scope, seeds: settings.seeds, draw: context.random
  })
  const events = csp.chan<ControlEvent>(csp.buffers.fixed(MAX_WAITING_EVENTS))
  const stopping = csp.chan<never>()
  const store = createStoreClient(context)
  const sockets = createPeerSockets(context, enqueueEvent)
  const listeners: Array<(pooled: PooledEvidence) => void> = []

  /** A message that finds the queue full costs its link; other events are few and must not be lost. */
  function enqueueEvent (event: ControlEvent): void {
    if (stopping.closed || csp.offer(events, event)) return
    if (event.kind === 'message') sockets.close(event.link, 'backlog-full', 'too many events waiting')
    else setImmediate(() => enqueueEvent(event))
  }

  function runStoreCall (action: Extract<ControlAction, { kind: 'store' }>): void {
    const { call } = action
    store.run(call).then(enqueueEvent, (error: unknown) => {
      log('internalError', { error: String(error) })
      enqueueEvent({ kind: 'store-failed', call: call.kind, detail: String(error) })
    })
  }

  function runAction (action: ControlAction): void {
    switch (action.kind) {
      case 'dial': sockets.dial(action.address); return
      case 'close': sockets.close(action.link, action.reason); return
      case 'send': sockets.send(action.link, action.message); return
      case 'store': runStoreCall(action); return
      case 'deliver-evidence':
        for (const listener of listeners) listener({ dataCentre: action.dataCentre, evidence: action.evidence })
        return
      case 'log': log(action.name, action.fields); return
      case 'count-configuration': counters.count('configurations', action.outcome)
    }
  }

  /** A fault in one event is logged; the loop goes on with the next. */
  function handleEvent (event: ControlEvent): void {
    try {
      for (const action of core.step(event, clock.now(), clock.wall())) runAction(action)
    } catch (error) {
      log('internalError', { error: error instanceof Error ? error.stack : String(error), during: event.kind })
    }
  }

  function startLoop (): void {
    csp.go(function * () {
      let tick = csp.timeout(TICK_INTERVAL_MS)
      handleEvent({ kind: 'tick' })
      while (!stopping.closed) {
        const result = (yield csp.alts([stopping, tick, events], { priority: true })) as {
          channel: unknown,
          value: ControlEvent
        }
        if (result.channel === tick) {
          handleEvent({ kind: 'tick' })
          tick = csp.timeout(TICK_INTERVAL_MS)
        } else if (result.channel === events) handleEvent(result.value)
      }
    })
  }

  return {
    view: {
      configuration: core.configuration,
      self: core.self,
      listEndpoints: core.listEndpoints,
      findEndpoint: core.findEndpoint,
      isDrained: core.isDrained,
      isQuarantined: (fingerprint) => core.isQuarantined(fingerprint, clock.now())
    },
    start: startLoop,
    stop: () => {
      stopping.close()
      sockets.stop()
    },
    acceptUpgrade: sockets.acceptUpgrade,
    announce: (update) => handleEvent({ kind: 'announce', ...update }),
    reportSuspects: (suspects) => handleEvent({ kind: 'suspects', suspects }),
    reportEvidence: (evidence) => handleEvent({ kind: 'evidence', evidence }),
    reportUnreachable: ({ host }) => handleEvent({ kind: 'unreachable', host }),
    submitOrder: (request) => {
      const { order, actions } = core.submitOrder(request, clock.now(), clock.wall())
      for (const action of actions) runAction(action)
      return order
    },
    readStatus: core.readStatus,
    onEvidence: (listener) => { listeners.push(listener) },
    isRelay: core.isRelay
  }
}
