import type { Problem } from '../errors/Problem.js'
import { suggestName } from '../errors/suggestName.js'
import type { IntentFile } from './IntentFile.js'

function checkRoutes (files: readonly IntentFile[]): Problem[] {
  const problems: Problem[] = []
  const services = files.map(({ intent }) => intent.service)
  const filesByRouteName = new Map<string, string>()
  const filesByMatch = new Map<string, string>()
  for (const { file, intent } of files) {
    intent.route.forEach((route, index) => {
      const key = `route.${index}`
      const sameNameFile = filesByRouteName.get(route.name)
      if (sameNameFile !== undefined) {
        problems.push({ file, key: `${key}.name`, found: `"${route.name}", already used in ${sameNameFile}`, expected: 'a route name that is unique in the mesh' })
      }
      filesByRouteName.set(route.name, file)
      const match = `${route.method} ${route.path}`
      const sameMatchFile = filesByMatch.get(match)
      if (sameMatchFile !== undefined) {
        problems.push({ file, key: `${key}.path`, found: `${match}, already routed in ${sameMatchFile}`, expected: 'a pair of method and path that is unique in the mesh' })
      }
      filesByMatch.set(match, file)
      if (route.service !== undefined && !services.includes(route.service)) {
        const suggestion = suggestName(route.service, services)
        const problem = { file, key: `${key}.service`, found: `"${route.service}", which no intent file declares`, expected: `one of ${services.join(', ')}` }
        problems.push(suggestion === undefined ? problem : { ...problem, hint: `did you mean "${suggestion}"?` })
      }
    })
  }
  return problems
}

/** Performs the checks that span several intent files: names are unique and references resolve. */
export function checkIntents (files: readonly IntentFile[]): Problem[] {
  const problems: Problem[] = []
  const filesByService = new Map<string, string>()
  for (const { file, intent } of files) {
    const declaringFile = filesByService.get(intent.service)
    if (declaringFile !== undefined) {
      problems.push({ file, key: 'service', found: `"${intent.service}", already declared in ${declaringFile}`, expected: 'one intent file for each service' })
    }
    filesByService.set(intent.service, file)
    if (intent.rollout?.to === intent.stable) {
      problems.push({ file, key: 'rollout.to', found: `"${intent.rollout.to}"`, expected: 'a version other than stable' })
    }
  }
  return [...problems, ...checkRoutes(files)]
}
