import type { Endpoint } from '@snipenotch/contracts'
import { type ControlAction, type ControlEvent, createControlCore } from '@snipenotch/decisions'
import { csp } from '../csp.js'
import type { ControlPlane, PooledEvidence } from '../node/ControlPlane.js'
import type { NodeContext } from '../node/NodeContext.js'
import { createPeerSockets } from './createPeerSockets.js'
import { createStoreCallRunner } from './createStoreCallRunner.js'

/** Interval between tick events of the control core. */
const TICK_INTERVAL_MS = 250
/** Capacity of the event queue; when it is full, the link that a message arrives on is closed. */
const MAX_QUEUED_EVENTS = 16_384

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

/** Creates the control plane: passes events of sockets and the store to the control core and performs its actions. */
export function createControlPlane (context: NodeContext): ControlPlane {
  const { settings, clock, log, counters } = context
  const core = createControlCore({
    self: composeEndpoint(context), scope: settings.scope, seeds: settings.seeds, random: context.random
  })
  const events = csp.chan<ControlEvent>(csp.buffers.fixed(MAX_QUEUED_EVENTS))
  const stopping = csp.chan<never>()
  const storeCalls = createStoreCallRunner(context)
  const sockets = createPeerSockets(context, enqueueEvent)
  const evidenceListeners: Array<(pooled: PooledEvidence) => void> = []

  /**
   * Closes the link of a message if the queue is full; other events are rare, must not be lost and are queued again
   * later.
   */
  function enqueueEvent (event: ControlEvent): void {
    if (stopping.closed || csp.offer(events, event)) return
    if (event.kind === 'message') sockets.close(event.link, 'backlog-full', 'event queue is full')
    else setImmediate(() => enqueueEvent(event))
  }

  function runStoreCall (action: Extract<ControlAction, { kind: 'store' }>): void {
    const { call } = action
    storeCalls.run(call).then(enqueueEvent, (error: unknown) => {
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
        for (const listener of evidenceListeners) listener({ dataCentre: action.dataCentre, evidence: action.evidence })
        return
      case 'log': log(action.name, action.fields); return
      case 'count-configuration': counters.count('configurations', action.outcome)
    }
  }

  /** Processes one event; logs an exception so that the loop continues with the next event. */
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
    onEvidence: (listener) => { evidenceListeners.push(listener) },
    isRelay: core.isRelay
  }
}
