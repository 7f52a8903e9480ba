import type { Problem } from '../errors/Problem.js'
import { suggestName } from '../errors/suggestName.js'
import type { IntentFile } from './IntentFile.js'

function checkRoutes (files: readonly IntentFile[]): Problem[] {
  const problems: Problem[] = []
  const services = files.map(({ intent }) => intent.service)
  const names = new Map<string, string>()
  const matches = new Map<string, string>()
  for (const { file, intent } of files) {
    intent.route.forEach((route, index) => {
      const key = `route.${index}`
      const sameName = names.get(route.name)
      if (sameName !== undefined) {
        problems.push({ file, key: `${key}.name`, found: `"${route.name}", already used in ${sameName}`, expected: 'a route name that is unique in the mesh' })
      }
      names.set(route.name, file)
      const match = `${route.method} ${route.path}`
      const sameMatch = matches.get(match)
      if (sameMatch !== undefined) {
        problems.push({ file, key: `${key}.path`, found: `${match}, already routed in ${sameMatch}`, expected: 'a pair of method and path that is unique in the mesh' })
      }
      matches.set(match, file)
      if (route.service !== undefined && !services.includes(route.service)) {
        const near = suggestName(route.service, services)
        const problem = { file, key: `${key}.service`, found: `"${route.service}", which no intent file declares`, expected: `one of ${services.join(', ')}` }
        problems.push(near === undefined ? problem : { ...problem, hint: `did you mean "${near}"?` })
      }
    })
  }
  return problems
}

/** Checks what no single file can show: unique names, and that each reference points at something present. */
export function checkIntents (files: readonly IntentFile[]): Problem[] {
  const problems: Problem[] = []
  const owners = new Map<string, string>()
  for (const { file, intent } of files) {
    const owner = owners.get(intent.service)
    if (owner !== undefined) {
      problems.push({ file, key: 'service', found: `"${intent.service}", already declared in ${owner}`, expected: 'one intent file for each service' })
    }
    owners.set(intent.service, file)
    if (intent.rollout?.to === intent.stable) {
      problems.push({ file, key: 'rollout.to', found: `"${intent.rollout.to}"`, expected: 'a version other than stable' })
    }
  }
  return [...problems, ...checkRoutes(files)]
}
