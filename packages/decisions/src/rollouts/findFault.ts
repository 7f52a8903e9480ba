import type { Rollout } from '@snipenotch/contracts'
import { type Comparison, compareCounts } from './compareCounts.js'
import { chooseReference, mergeStrata, type Stratum } from './computeReference.js'
import { type Counts, NO_COUNTS, sumCounts } from './Counts.js'
import type { Basis, RolloutEvidence } from './RolloutDecision.js'

/** Comparison of both versions in one scope. */
export interface Fault extends Basis, Comparison {
  /** False if the old version had too few requests in the same window to rule out a fault of both versions. */
  readonly compared: boolean
}

/** Minimum number of the old version's requests in the same window to rule out a fault of both versions. */
const MIN_COMPARED_REQUESTS = 10

/** Counts of both versions on one route in one data centre. */
interface Cell {
  readonly route: string
  readonly dataCentre: string
  readonly candidate: Counts
  readonly reference: Counts
}

function collectCells (evidence: readonly RolloutEvidence[], { from, to }: Rollout): Cell[] {
  const cells = new Map<string, Cell>()
  for (const part of evidence) {
    const { route, dataCentre, version } = part
    const key = `${dataCentre}/${route}`
    const cell = cells.get(key) ?? { route, dataCentre, candidate: NO_COUNTS, reference: NO_COUNTS }
    const candidate = version === to ? sumCounts([cell.candidate, part]) : cell.candidate
    const reference = version === from ? sumCounts([cell.reference, part]) : cell.reference
    cells.set(key, { route, dataCentre, candidate, reference })
  }
  return [...cells.values()]
}

/** Sums cells by route, using an earlier reference where the old version has too few requests. */
function collectStrata (cells: readonly Cell[], earlier: readonly Cell[]): Stratum[] {
  return [...new Set(cells.map(({ route }) => route))].map((route) => {
    const inRoute = cells.filter((cell) => cell.route === route)
    const before = earlier.filter((cell) => cell.route === route)
    return {
      candidate: sumCounts(inRoute.map(({ candidate }) => candidate)),
      reference: chooseReference([
        sumCounts(inRoute.map(({ reference }) => reference)), sumCounts(before.map(({ reference }) => reference))
      ])
    }
  })
}

/** Compares both versions in total, on each route and in each data centre; returns the scope of the lowest p-value. */
export function findFault (
  evidence: readonly RolloutEvidence[], sinceStart: readonly RolloutEvidence[], rollout: Rollout
): Fault {
  const cells = collectCells(evidence, rollout)
  const earlier = collectCells(sinceStart, rollout)

  function compareScope (scope: string, isInScope: (cell: Cell) => boolean): Fault {
    const inScope = cells.filter(isInScope)
    const { candidate, reference } = mergeStrata(collectStrata(inScope, earlier.filter(isInScope)))
    const compared = sumCounts(inScope.map((cell) => cell.reference)).requests >= MIN_COMPARED_REQUESTS
    return { scope, candidate, reference, compared, ...compareCounts(candidate, reference) }
  }

  let worst = compareScope('in total', () => true)
  const scopes = [
    ...[...new Set(cells.map(({ route }) => route))].map((name) =>
      compareScope(`on route ${name}`, ({ route }) => route === name)),
    ...[...new Set(cells.map(({ dataCentre }) => dataCentre))].map((name) =>
      compareScope(`in data centre ${name}`, ({ dataCentre }) => dataCentre === name))
  ]
  for (const fault of scopes) if (fault.pValue < worst.pValue) worst = fault
  return worst
}
