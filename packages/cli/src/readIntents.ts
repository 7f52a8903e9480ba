import { readdirSync, readFileSync } from 'node:fs'
import path from 'node:path'
import { checkIntents, intentSchema, parseTomlWithSchema, type IntentFile, type Problem } from '@snipenotch/contracts'
import { Err, Ok, type Result } from 'ts-results-es'

/** File name of the intent file of one service. */
export const INTENT_FILE_NAME = 'snipenotch.toml'

/** Reads and validates every intent file below `directory`; returns the problems of all files together. */
export function readIntents (directory: string): Result<IntentFile[], Problem[]> {
  const problems: Problem[] = []
  const files: IntentFile[] = []
  let names: string[]
  try {
    names = readdirSync(directory, { recursive: true, encoding: 'utf8' })
  } catch (error) {
    return Err([{ file: directory, key: '', found: error instanceof Error ? error.message : String(error), expected: 'a readable directory' }])
  }
  for (const name of names.filter((entry) => path.basename(entry) === INTENT_FILE_NAME).sort()) {
    const file = path.join(directory, name)
    const parsed = parseTomlWithSchema(intentSchema, readFileSync(file, 'utf8'), file)
    if (parsed.isErr()) problems.push(...parsed.error)
    else files.push({ file, intent: parsed.value })
  }
  if (files.length === 0 && problems.length === 0) {
    problems.push({ file: directory, key: '', found: 'no intent file', expected: `at least one ${INTENT_FILE_NAME}` })
  }
  problems.push(...checkIntents(files))
  return problems.length > 0 ? Err(problems) : Ok(files)
}
