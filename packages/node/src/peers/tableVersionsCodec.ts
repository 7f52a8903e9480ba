import { composeRowVersion, getRowEra, getRowNumber, isStoreEra } from '@snipenotch/contracts'
import type { TableVersions } from './ForwardingMessage.js'

/**
 * Encodes versions as the numbers of the store, followed by a list of their eras if the store was restored. Nodes of
 * earlier builds pass over an element that is no number.
 */
export function encodeTableVersions (versions: TableVersions): unknown[] {
  const eras = versions.map(getRowEra)
  return eras.some((era) => era > 0) ? [...versions.map(getRowNumber), eras] : [...versions]
}

/** Decodes versions; elements that cannot be read are left out. */
export function decodeTableVersions (value: unknown): TableVersions {
  if (!Array.isArray(value)) return []
  const numbers = value.filter((element): element is number => Number.isFinite(element))
  const eras: unknown = value.at(-1)
  if (!Array.isArray(eras)) return numbers
  return numbers.map((number, index) => {
    const era: unknown = eras[index]
    return composeRowVersion(isStoreEra(era) ? era : 0, number)
  })
}
