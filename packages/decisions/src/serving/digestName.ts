const FNV_PRIME = 16_777_619
const FNV_OFFSET_BASIS = 2_166_136_261

/** FNV-1a hash: spreads choices over hosts and gives the same result on all of them. */
export function digestName (text: string): number {
  let hash = FNV_OFFSET_BASIS
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  return hash >>> 0
}
