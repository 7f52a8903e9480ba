/**
 * Row versions of the store are issued again after it was restored from a copy. Inside a node, a version therefore is
 * one number with the era of the store in the high digits, so that comparing two numbers compares (era, version).
 */
const VERSIONS_PER_ERA = 2 ** 40

/** Highest era with which every version remains a safe integer. */
export const MAX_STORE_ERA = 2 ** 13 - 1

/** Composes the version of a row from the era of the store and the number that the store issued in it. */
export const composeRowVersion = (era: number, number: number): number => era * VERSIONS_PER_ERA + number

/** Returns the era in which a version was read; 0 for a store that was never restored. */
export const getRowEra = (version: number): number => Math.floor(version / VERSIONS_PER_ERA)

/** Returns the number that the store issued for a version. */
export const getRowNumber = (version: number): number => version % VERSIONS_PER_ERA

/** Returns whether a value is an era that a node can represent. */
export const isStoreEra = (value: unknown): value is number =>
  typeof value === 'number' && Number.isInteger(value) && value >= 0 && value <= MAX_STORE_ERA
