/** Returns the seed of a property test, taken from SEED if set, and prints it so that a failure can be reproduced. */
export function printSeed (name: string): number {
  const seed = process.env['SEED'] === undefined ? Date.now() % 2 ** 31 : Number(process.env['SEED'])
  console.log(`      ${name}: SEED=${seed}`)
  return seed
}
