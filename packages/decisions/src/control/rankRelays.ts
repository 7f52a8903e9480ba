import type { Endpoint } from '@snipenotch/contracts'
import { RELAY_MIN_AGE_MS, RELAYS_PER_DATA_CENTRE } from './controlLimits.js'

/** 32-bit FNV-1a with the MurmurHash3 finalizer, which spreads names that differ only in the last character. */
export function digestName (text: string): number {
  let hash = 0x811c9dc5
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/** Sorts names by their rendezvous hash over (key, name), highest first. */
export function rankNames (key: string, names: readonly string[]): string[] {
  return names
    .map((name) => ({ name, score: digestName(`${key}/${name}`) }))
    .sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1))
    .map(({ name }) => name)
}

/** A host that is eligible as relay; `liveSince` is wall-clock time in milliseconds. */
export interface RelayCandidate {
  readonly endpoint: Endpoint
  readonly liveSince: number
}

/**
 * Returns the relays of a data centre, highest ranked first. Hosts that have been live for less than
 * `RELAY_MIN_AGE_MS` rank after the others, so that a returning host does not immediately displace a working relay.
 */
export function rankRelays (dataCentre: string, candidates: readonly RelayCandidate[], wall: number): string[] {
  const hasMinAge = ({ liveSince }: RelayCandidate): boolean => wall - liveSince >= RELAY_MIN_AGE_MS
  const select = (mature: boolean): string[] => rankNames(dataCentre, candidates
    .filter((candidate) => hasMinAge(candidate) === mature).map(({ endpoint }) => endpoint.host))
  return [...select(true), ...select(false)].slice(0, RELAYS_PER_DATA_CENTRE)
}
