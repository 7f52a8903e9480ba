/** Why a rollout change cannot be applied to the current configuration. */
export type RolloutRefusal =
  | { readonly kind: 'unknown-service', readonly service: string }
  | { readonly kind: 'no-rollout', readonly service: string }
  | { readonly kind: 'already-ended', readonly service: string, readonly outcome: string, readonly reason: string }
  | { readonly kind: 'other-step', readonly service: string, readonly found: string, readonly expected: string }
  | { readonly kind: 'already-running', readonly service: string, readonly rollout: string }
  | { readonly kind: 'stable-outdated', readonly service: string, readonly stable: string, readonly finished: string }
  | { readonly kind: 'same-version', readonly service: string, readonly version: string }
  | { readonly kind: 'time-passed', readonly service: string, readonly finishBy: number }

/** Formats a refusal as a one-line message for an operator. */
export function formatRolloutRefusal (refusal: RolloutRefusal): string {
  const place = `service ${refusal.service}`
  switch (refusal.kind) {
    case 'unknown-service': return `${place}: found no such service in the accepted configuration`
    case 'no-rollout': return `${place}: found no rollout, expected one that is running or finished`
    case 'already-ended': return `${place}: the rollout has already ended as ${refusal.outcome}: ${refusal.reason}`
    case 'other-step': return `${place}: found rollout step ${refusal.found}, expected ${refusal.expected}`
    case 'already-running': return `${place}: rollout ${refusal.rollout} is still running; take it back first`
    case 'stable-outdated':
      return `${place}: found stable version "${refusal.stable}", expected "${refusal.finished}", to which a rollout has finished`
    case 'same-version': return `${place}: found version "${refusal.version}", which is already the stable one`
    case 'time-passed':
      return `${place}: found finish time ${new Date(refusal.finishBy).toISOString()}, expected one in the future`
  }
}
