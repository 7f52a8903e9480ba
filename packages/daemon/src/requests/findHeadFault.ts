import { validateHeaderName, validateHeaderValue } from 'node:http'

/** Characters of a request target that the HTTP client of Node.js refuses to send. */
const INVALID_TARGET_CHARACTER = /[^\u0021-\u00ff]/
/** Statuses of final responses; lower ones belong to interim responses. */
const MIN_FINAL_STATUS = 200
const MAX_STATUS = 999
/** Maximum length of a description, in characters: heads may be long. */
const MAX_DESCRIPTION_LENGTH = 120

/** Describes the first header of a flat list that cannot be sent; undefined if all can. */
function findHeaderFault (headers: readonly string[]): string | undefined {
  try {
    for (let index = 0; index + 1 < headers.length; index += 2) {
      const name = headers[index] ?? ''
      validateHeaderName(name)
      validateHeaderValue(name, headers[index + 1] ?? '')
    }
    return undefined
  } catch (error) {
    return String(error).slice(0, MAX_DESCRIPTION_LENGTH)
  }
}

/**
 * Describes why a request head cannot be forwarded, undefined if it can. The HTTP parser of Node.js accepts heads that
 * its writer refuses. `headers` is a flat list.
 */
export function findRequestHeadFault (target: string, headers: readonly string[]): string | undefined {
  return INVALID_TARGET_CHARACTER.test(target) ? 'invalid character in the target' : findHeaderFault(headers)
}

/** Describes why a response head cannot be forwarded, undefined if it can. `headers` is a flat list. */
export function findResponseHeadFault (status: number, headers: readonly string[]): string | undefined {
  if (!(status >= MIN_FINAL_STATUS && status <= MAX_STATUS)) return `invalid status ${status}`
  return findHeaderFault(headers)
}
