import { hash } from '@harecross/kernel';

/** Number of parts into which the keys are divided. With more, the checksums would be longer than the digests that they save. */
const PART_COUNT = 32;

/** Checksum of a table: the sums of two hashes of each fact, both modulo 2^32. */
export type TotalSum = [number, number];

/**
 * Checksums of the membership table, of the whole and of each part, by which two nodes find out with a few numbers whether and where
 * their tables differ. They are updated incrementally and do not depend on the order of the changes.
 * @example
 * sums.add('m/10.0.0.4:7100', version);
 */
export class TableSums {
  total: TotalSum = [0, 0];
  readonly parts: number[] = Array.from({ length: PART_COUNT }, () => 0);

  add(key: string, version: string): void {
    this.change(key, version, 1);
  }

  remove(key: string, version: string): void {
    this.change(key, version, -1);
  }

  /** Whether this is the checksum of an equal table. */
  isSame(total: TotalSum): boolean {
    return this.total[0] === total[0] && this.total[1] === total[1];
  }

  /** The parts whose checksums differ from these. */
  differingParts(parts: number[]): number[] {
    return this.parts.flatMap((sum, part) => (sum === parts[part] ? [] : [part]));
  }

  /** The part that a key belongs to. All nodes must compute the same one, so the hash and the number of parts must not change. */
  static partOf(key: string): number {
    return (hash(key) >>> 0) % PART_COUNT;
  }

  private change(key: string, version: string, sign: 1 | -1): void {
    const factHash = hash(`${key}=${version}`);
    const part = TableSums.partOf(key);
    this.parts[part] = (this.parts[part]! + sign * factHash) | 0;
    this.total = [(this.total[0] + sign * factHash) | 0, (this.total[1] + sign * Math.imul(factHash, 0x9e3779b1)) | 0];
  }
}
