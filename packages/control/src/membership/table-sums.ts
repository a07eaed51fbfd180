import { hash } from '@harecross/kernel';

/** Parts into which the keys are divided. More would make the sums longer than the digests that they save. */
const PARTS = 32;

/** The sum over all facts, of two hashes each. */
export type TotalSum = [number, number];

/**
 * Sums over the facts of the membership table, whole and by part, so that two nodes see by a few numbers whether and where their
 * tables differ. Kept up to date at each change; the order of the changes does not matter.
 * @example
 * sums.add('m/10.0.0.4:7100', version);
 */
export class TableSums {
  total: TotalSum = [0, 0];
  readonly parts: number[] = Array.from({ length: PARTS }, () => 0);

  add(key: string, version: string): void {
    this.change(key, version, 1);
  }

  remove(key: string, version: string): void {
    this.change(key, version, -1);
  }

  isSame(total: TotalSum): boolean {
    return this.total[0] === total[0] && this.total[1] === total[1];
  }

  /** The parts whose sums differ from these. */
  differingParts(parts: number[]): number[] {
    return this.parts.flatMap((sum, part) => (sum === parts[part] ? [] : [part]));
  }

  /** The part in which a key is. Wire: all nodes must agree on it. */
  static partOf(key: string): number {
    return (hash(key) >>> 0) % PARTS;
  }

  private change(key: string, version: string, sign: 1 | -1): void {
    const h = hash(`${key}=${version}`);
    const part = TableSums.partOf(key);
    this.parts[part] = (this.parts[part]! + sign * h) | 0;
    this.total = [(this.total[0] + sign * h) | 0, (this.total[1] + sign * Math.imul(h, 0x9e3779b1)) | 0];
  }
}
