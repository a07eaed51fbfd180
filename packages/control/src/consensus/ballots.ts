/** Ballots, the messages of the consensus register and the rule of majorities. */
import type { Kernel, PeerRpc } from '@harecross/kernel';
import type { FleetValue } from '../value/fleet-value.js';

/** A voter's answer to `RegPrepare`: its promise, and what it accepted last. */
export interface PrepareResponse {
  disk: string;
  ok: boolean;
  promised: string;
  ballot: string;
  value?: string;
  /** The voter's steady clock when it promised; it comes back with the value to accept. Older nodes leave it out. */
  at?: number;
}

/** A voter's answer to `RegAccept`. */
export interface AcceptResponse {
  disk: string;
  ok: boolean;
  promised: string;
}

/** A voter's answer to `RegRead`: the revision it accepted last with its ballot, and the one it knows to be chosen. */
export interface VoterState {
  disk: string;
  rev: number;
  known: number;
  ballot: string;
}

/** Calls a method at the node of each disk; a disk without a known address gives a rejected promise. */
export type CallVoters = <T>(disks: string[], method: PeerRpc, body: object) => Promise<T>[];

/** The sets of voters of which a majority each has to agree: those of the value, and those of the value before it. */
export const voterSets = (v: FleetValue): string[][] => [v.voters, v.previousVoters];

/** Every voter of either set, once. */
export const allVoters = (v: FleetValue): string[] => [...new Set([...v.voters, ...v.previousVoters])];

/**
 * Whether the disks heard from are a majority of each set.
 * @example
 * isMajority([['a', 'b', 'c']], new Set(['a', 'c'])); // true
 */
export function isMajority(sets: string[][], heard: Set<string>): boolean {
  return sets.every((s) => s.filter((d) => heard.has(d)).length * 2 > s.length);
}

/** Digits of a ballot's number: ballots compare as strings. */
const NUMBER_DIGITS = 12;

/** The process that made a ballot. */
export const proposerOf = (ballot: string): string => ballot.slice(NUMBER_DIGITS + 1);

/** Makes ballots that no other process makes, each above all that were seen. */
export class BallotGenerator {
  private count = 0;

  constructor(private kernel: Kernel) {}

  next(): string {
    return `${String(++this.count).padStart(NUMBER_DIGITS, '0')}.${this.kernel.self}~${this.kernel.instanceId}`;
  }

  /** The next ballot is above this one. */
  advancePast(ballot: string): void {
    this.count = Math.max(this.count, Number(ballot.slice(0, NUMBER_DIGITS)) || 0);
  }

  /** The number of the last ballot made or seen. */
  get last(): number {
    return this.count;
  }
}

/**
 * Whether at most one voter goes and at most one comes. A voter may be replaced by another in one step, because the change itself
 * needs a majority of the voters before and of those after.
 */
export function changesAtMostOneVoter(before: string[], after: string[]): boolean {
  const gone = before.filter((disk) => !after.includes(disk));
  const come = after.filter((disk) => !before.includes(disk));
  return gone.length <= 1 && come.length <= 1;
}
