/** Fencing tokens, which determine the owner of a shard that may write. */

/** A fencing token. Fences are compared as strings: by the generation of the placement, then the number, then the owner. */
export type Fence = string;

/** Lower than every other fence. Stands for no promise. */
export const NO_FENCE: Fence = '';

const GENERATION_DIGITS = 8;
const NUMBER_DIGITS = 10;
const NUMBER_START = GENERATION_DIGITS + 1;
const OWNER_START = NUMBER_START + NUMBER_DIGITS + 1;
/** Separates the address of an owner from the id of its process. */
const INSTANCE_SEPARATOR = '~';

/** The parts of a fence. */
export interface FenceParts {
  /** Generation of the placement. */
  gen: number;
  /** Number within the generation. */
  number: number;
  /** Address of the owner. */
  peer: string;
}

/**
 * Builds a fence. `owner` is the owner's address, `~` and the instance id of its process.
 * @example
 * makeFence(3, 7, '10.0.0.1:7101~0001'); // '00000003.0000000007.10.0.0.1:7101~0001'
 */
export function makeFence(generation: number, number: number, owner: string): Fence {
  return `${String(generation).padStart(GENERATION_DIGITS, '0')}.${String(number).padStart(NUMBER_DIGITS, '0')}.${owner}`;
}

/**
 * Parses a fence. The parts of `NO_FENCE` are zeros and an empty address.
 * @example
 * parseFence('00000003.0000000007.10.0.0.1:7101~0001').peer; // '10.0.0.1:7101'
 */
export function parseFence(fence: Fence): FenceParts {
  if (fence === NO_FENCE) return { gen: 0, number: 0, peer: '' };
  return {
    gen: Number(fence.slice(0, GENERATION_DIGITS)),
    number: Number(fence.slice(NUMBER_START, OWNER_START - 1)),
    peer: fence.slice(OWNER_START).split(INSTANCE_SEPARATOR)[0]!,
  };
}
