/** Fencing tokens: which owner of a shard may still write. */

/** Fences compare as strings: generation of the placement, then number, then the owner that took it. */
export type Fence = string;

/** Below every fence: nothing was promised. */
export const NO_FENCE: Fence = '';

const GENERATION_DIGITS = 8;
const NUMBER_DIGITS = 10;
const NUMBER_START = GENERATION_DIGITS + 1;
const OWNER_START = NUMBER_START + NUMBER_DIGITS + 1;
/** Stands between the address of an owner and the id of its process. */
const PROCESS_SEPARATOR = '~';

/** The parts of a fence. */
export interface FenceParts {
  /** Generation of the placement. */
  gen: number;
  /** Number within the generation. */
  number: number;
  /** Address of the owner that took it. */
  peer: string;
}

/**
 * The fence of an owner; `owner` is its address, `~` and its process id.
 * @example
 * makeFence(3, 7, '10.0.0.1:7101~0001'); // '00000003.0000000007.10.0.0.1:7101~0001'
 */
export function makeFence(gen: number, n: number, owner: string): Fence {
  return `${String(gen).padStart(GENERATION_DIGITS, '0')}.${String(n).padStart(NUMBER_DIGITS, '0')}.${owner}`;
}

/**
 * The parts of a fence; zeros and an empty address for `NO_FENCE`.
 * @example
 * parseFence(f).peer; // '10.0.0.1:7101'
 */
export function parseFence(fence: Fence): FenceParts {
  if (fence === NO_FENCE) return { gen: 0, number: 0, peer: '' };
  return {
    gen: Number(fence.slice(0, GENERATION_DIGITS)),
    number: Number(fence.slice(NUMBER_START, OWNER_START - 1)),
    peer: fence.slice(OWNER_START).split(PROCESS_SEPARATOR)[0]!,
  };
}
