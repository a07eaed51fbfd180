/** Ballots, the messages of the consensus register and the majority rule. */
import type { Kernel, PeerRpc } from '@harecross/kernel';
import type { FleetValue } from '../value/fleet-value.js';

/** A voter's answer to `RegPrepare`: its promise and the value it accepted last, with that value's ballot. */
export interface PrepareResponse {
  disk: string;
  ok: boolean;
  promised: string;
  ballot: string;
  value?: string;
  /** The voter's monotonic clock when it promised; the proposer returns it in `RegAccept`. Absent in answers of older nodes. */
  at?: number;
}

/** A voter's answer to `RegAccept`. */
export interface AcceptResponse {
  disk: string;
  ok: boolean;
  promised: string;
}

/** A voter's answer to `RegRead`: the revision and ballot it accepted last, and the latest revision it knows to be chosen. */
export interface VoterState {
  disk: string;
  rev: number;
  known: number;
  ballot: string;
}

/** Calls a method on the node of each disk; the promise of a disk without a known address is rejected. */
export type CallVoters = <T>(disks: string[], method: PeerRpc, body: object) => Promise<T>[];

/** The voter sets that each need a majority: the voters of this value and those of the value before it. */
export const voterSets = (v: FleetValue): string[][] => [v.voters, v.previousVoters];

/** The voters of both sets, without duplicates. */
export const allVoters = (v: FleetValue): string[] => [...new Set([...v.voters, ...v.previousVoters])];

/**
 * Whether the given disks include a majority of each set.
 * @example
 * isMajority([['a', 'b', 'c']], new Set(['a', 'c'])); // true
 */
export function isMajority(sets: string[][], disks: Set<string>): boolean {
  return sets.every((set) => set.filter((disk) => disks.has(disk)).length * 2 > set.length);
}

/** Fixed number of digits of a ballot's sequence number, so that ballots compare as strings. */
const SEQUENCE_DIGITS = 12;

/** The process that issued a ballot. */
export const proposerOf = (ballot: string): string => ballot.slice(SEQUENCE_DIGITS + 1);

/** Issues ballots that are unique to this process, each higher than all ballots it has issued or observed. */
export class BallotGenerator {
  /** The sequence number of the last ballot issued or observed. */
  private count = 0;

  constructor(private kernel: Kernel) {}

  next(): string {
    return `${String(++this.count).padStart(SEQUENCE_DIGITS, '0')}.${this.kernel.self}~${this.kernel.instanceId}`;
  }

  /** Ensures that the next ballot is higher than the given one. */
  advancePast(ballot: string): void {
    this.count = Math.max(this.count, Number(ballot.slice(0, SEQUENCE_DIGITS)) || 0);
  }

  get last(): number {
    return this.count;
  }
}

/**
 * Whether at most one voter is removed and at most one is added. One step may replace a voter by another, because the change
 * itself needs a majority of both the old and the new voters.
 */
export function changesAtMostOneVoter(before: string[], after: string[]): boolean {
  const removed = before.filter((disk) => !after.includes(disk));
  const added = after.filter((disk) => !before.includes(disk));
  return removed.length <= 1 && added.length <= 1;
}
