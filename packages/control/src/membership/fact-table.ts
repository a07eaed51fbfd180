/** A table of versioned facts that the nodes replicate by gossip, with tombstones and checksums. */
import { MEMBERSHIP, type Clock } from '@harecross/kernel';
import { TableSums, type TotalSum } from './table-sums.js';

/** A fact with its version. Versions are compared as strings, and the higher one wins. */
export interface VersionedFact {
  ver: string;
  val: unknown;
}

/** The version that a node has of each fact. */
export type Digest = [key: string, version: string][];

/** The keys of the facts in which two tables differ. */
export interface DigestDifference {
  /** Facts that the other table lacks or has in an older version. */
  newerHere: string[];
  /** Facts that this table lacks or has in an older version. */
  newerThere: string[];
}

/**
 * A table in which the highest version of a fact wins. A removed fact leaves a tombstone for `MEMBERSHIP.tombstoneMs`, so that a node
 * that still has the fact does not reintroduce it.
 * @example
 * if (table.isNewer(key, version)) table.store(key, version, value);
 */
export class FactTable {
  readonly facts = new Map<string, VersionedFact>();
  private readonly tombstones = new Map<string, { ver: string; at: number }>();
  private readonly sums = new TableSums();
  private lastChangeAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** When a fact was last stored (monotonic clock, ms). */
  get changedAt(): number {
    return this.lastChangeAt;
  }

  /** The checksum of the whole table. */
  get total(): TotalSum {
    return this.sums.total;
  }

  /** The checksum of each part of the table. */
  get partSums(): number[] {
    return this.sums.parts;
  }

  /** Whether a table with this checksum has the same versions of the same facts. */
  isSameAs(total: TotalSum): boolean {
    return this.sums.isSame(total);
  }

  /** The parts of the table whose checksums differ from these. */
  differingParts(parts: number[]): number[] {
    return this.sums.differingParts(parts);
  }

  /** Whether a version is higher than the stored one. Tombstones are not considered here; `store` checks them. */
  isNewer(key: string, version: string): boolean {
    const known = this.facts.get(key);
    return known === undefined || known.ver < version;
  }

  /** Stores a fact whose version `isNewer`. Returns false, without storing it, if a tombstone has the same or a higher version. */
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

  /** The versions of all facts, or only of those in the given parts. */
  digest(parts?: Set<number>): Digest {
    const digest: Digest = [];
    for (const [key, fact] of this.facts) if (!parts || parts.has(TableSums.partOf(key))) digest.push([key, fact.ver]);
    return digest;
  }

  /** Compares this table with the digest of another one, or only the given parts of it. */
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
