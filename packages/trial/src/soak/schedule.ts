/** The schedule of a soak: what happens when, drawn from the seed. Entries overlap, and some come in series. */
import { randomInt, type RandomSource } from '@harecross/kernel';

export const SOAK_KINDS = ['term', 'kill', 'freeze', 'reload', 'reset', 'change', 'replace', 'wipe'] as const;
export type SoakKind = (typeof SOAK_KINDS)[number];

/** One thing that is done to the fleet. */
export interface SoakEntry {
  atMs: number;
  kind: SoakKind;
  /** Draws the machines and times of the entry. */
  seed: number;
}

/** From one entry to the next (ms). */
const GAP_MS: readonly [number, number] = [200, 2_500];
/** Share of entries that are the first of a series of the same kind, and how long and how close a series is. */
const SERIES_SHARE = 0.25;
const SERIES_LENGTH: readonly [number, number] = [2, 5];
const SERIES_GAP_MS = 150;
const SEED_RANGE = 2 ** 31;

/**
 * The entries of a soak, in order.
 * @example
 * drawSoak(seeded(7), 60_000)[0]; // { atMs: 1234, kind: 'term', seed: 99 }
 */
export function drawSoak(random: RandomSource, forMs: number): SoakEntry[] {
  const entries: SoakEntry[] = [];
  const between = ([least, most]: readonly [number, number]): number => least + randomInt(random, most - least + 1);
  for (let atMs = between(GAP_MS); atMs < forMs; atMs += between(GAP_MS)) {
    const kind = SOAK_KINDS[randomInt(random, SOAK_KINDS.length)]!;
    const count = random.next() < SERIES_SHARE ? between(SERIES_LENGTH) : 1;
    for (let i = 0; i < count; i++)
      entries.push({ atMs: atMs + i * SERIES_GAP_MS, kind, seed: randomInt(random, SEED_RANGE) });
  }
  return entries.sort((one, other) => one.atMs - other.atMs);
}
