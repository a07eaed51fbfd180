/** The versioned facts that the nodes replicate among themselves by gossip, with tombstones and checksums. */
import { MEMBERSHIP, type Clock } from '@harecross/kernel';
import { TableSums, type TotalSum } from './table-sums.js';

/** A fact and its version; versions compare as strings, and the higher one wins. */
export interface VersionedFact {
  ver: string;
  val: unknown;
}

/** Which version of each fact a node has. */
export type Digest = [key: string, version: string][];

/** What two tables lack of each other, as keys. */
export interface DigestDifference {
  /** Facts that the other table lacks or has in an older version. */
  newerHere: string[];
  /** Facts that this table lacks or has in an older version. */
  newerThere: string[];
}

/**
 * A last-writer-wins table. Facts that were removed leave a tombstone for `MEMBERSHIP.tombstoneMs`, so that a node that still has one
 * does not bring it back.
 * @example
 * if (table.accepts(key, version)) table.store(key, version, value);
 */
export class FactTable {
  readonly facts = new Map<string, VersionedFact>();
  private readonly tombstones = new Map<string, { ver: string; at: number }>();
  private readonly sums = new TableSums();
  private lastChangeAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** When a fact was last stored (steady clock, ms). */
  get changedAt(): number {
    return this.lastChangeAt;
  }

  get total(): TotalSum {
    return this.sums.total;
  }

  get partSums(): number[] {
    return this.sums.parts;
  }

  isSameAs(total: TotalSum): boolean {
    return this.sums.isSame(total);
  }

  /** The parts of the table whose sums differ from these. */
  differingParts(parts: number[]): number[] {
    return this.sums.differingParts(parts);
  }

  /** Whether no version as high is known; a tombstone is not looked at. */
  isNewer(key: string, version: string): boolean {
    const known = this.facts.get(key);
    return known === undefined || known.ver < version;
  }

  /** Stores a newer version; false where a tombstone is as high. */
  store(key: string, version: string, value: unknown): boolean {
    const tombstone = this.tombstones.get(key);
    if (tombstone !== undefined) {
      if (tombstone.ver >= version) return false;
      this.tombstones.delete(key);
    }
    const old = this.facts.get(key);
    if (old) this.sums.remove(key, old.ver);
    this.sums.add(key, version);
    this.lastChangeAt = this.clock.now();
    this.facts.set(key, { ver: version, val: value });
    return true;
  }

  /** Removes a fact and leaves a tombstone. */
  remove(key: string): void {
    const fact = this.facts.get(key);
    if (!fact) return;
    this.tombstones.set(key, { ver: fact.ver, at: this.clock.now() });
    this.sums.remove(key, fact.ver);
    this.facts.delete(key);
  }

  expireTombstones(): void {
    const now = this.clock.now();
    for (const [key, tombstone] of this.tombstones)
      if (now - tombstone.at > MEMBERSHIP.tombstoneMs) this.tombstones.delete(key);
  }

  /** The versions of all facts, or of those in these parts. */
  digest(parts?: Set<number>): Digest {
    const digest: Digest = [];
    for (const [key, fact] of this.facts) if (!parts || parts.has(TableSums.partOf(key))) digest.push([key, fact.ver]);
    return digest;
  }

  /** Compares with another table's digest; in these parts only, where they are given. */
  compare(digest: Digest, parts?: Set<number>): DigestDifference {
    const theirs = new Map(digest);
    const newerThere: string[] = [];
    for (const [key, version] of theirs) {
      const known = this.facts.get(key)?.ver ?? this.tombstones.get(key)?.ver;
      if (known === undefined || known < version) newerThere.push(key);
    }
    const newerHere: string[] = [];
    for (const [key, fact] of this.facts) {
      if (parts && !parts.has(TableSums.partOf(key))) continue;
      const version = theirs.get(key);
      if (version === undefined || version < fact.ver) newerHere.push(key);
    }
    return { newerHere, newerThere };
  }
}
