/** The fault schedule of a soak test, drawn from the seed. Faults overlap, and some come in series. */
import { randomInt, type RandomSource } from '@harecross/kernel';

export const SOAK_KINDS = ['term', 'kill', 'freeze', 'reload', 'reset', 'change', 'replace', 'wipe'] as const;
export type SoakKind = (typeof SOAK_KINDS)[number];

/** One fault or operator action. */
export interface SoakEntry {
  atMs: number;
  kind: SoakKind;
  /** Seed for the machines and durations of the entry. */
  seed: number;
}

/** Time between entries. */
const GAP_MS: readonly [number, number] = [200, 2_500];
/** Share of entries that start a series of the same kind, and the number and interval of the entries in a series. */
const SERIES_SHARE = 0.25;
const SERIES_LENGTH: readonly [number, number] = [2, 5];
const SERIES_GAP_MS = 150;
const SEED_RANGE = 2 ** 31;

/**
 * The entries of a soak test, by time.
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
