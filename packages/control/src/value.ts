/** The one value that the fleet agrees on, and the records in it. */
import type { DiskUse } from '@harecross/kernel';
import type { FleetConfig } from '@harecross/schema';
import type { Eras } from './eras.js';

export type DiskState = 'active' | 'emptying' | 'lost';
/** `ms`: how long it took when it was first opened. `uses`: what the disk is for; a record of before there was a choice has none and is for everything. */
export interface DiskRec {
  id: string;
  peer: string;
  domain: string;
  state: DiskState;
  uses?: DiskUse[];
  name?: string;
  ms?: number;
}
/**
 * Whether a disk is for this before anything else.
 * @example
 * firstFor(disk, 'copies') // false for a control node's, though it may take copies too
 */
export const firstFor = (d: DiskRec, use: DiskUse): boolean => (d.uses?.[0] ?? 'copies') === use;
/**
 * Whether a disk is for this.
 * @example
 * usedFor(disk, 'copies') // false for a control node's
 */
export const usedFor = (d: DiskRec, use: DiskUse): boolean => d.uses?.includes(use) ?? true;
/**
 * Where the replicas of a shard are, under one generation. A generation is established once an owner serves under it: a majority
 * of its copies has the whole history then.
 */
export interface Placement {
  gen: number;
  copies: string[];
  /**
   * The copies of the generation before, where one replaced another in a single step. Until the generation is established, its
   * owner needs the fence of a majority of these too; see `fenceQuorum`.
   */
  previous?: string[];
  /** Disks that were replaced while they still had their copy: they keep it until all the copies have the history. */
  retained?: string[];
}
export type MoveState = 'running' | 'late' | 'done' | 'missed' | 'refused';
/** How far a planned move has come; only moves that have begun (or never will) are here. */
export interface MoveRec {
  state: MoveState;
  why: string;
}
export type Outcome = { tag: 'taken'; version: number } | { tag: 'conflict'; version: number };

/** The one value the fleet agrees on. rev counts every change, version only the operators'. */
export interface Value {
  fleet: string;
  rev: number;
  version: number;
  changeId: string;
  config: FleetConfig;
  /** The operators' own number of what is in force; the highest holds. */
  revision?: number;
  /** The operators' own words, as JSON text: nothing in here reads them. */
  document?: string;
  /** Since which version the topics of a pattern have been there without a break. */
  eras: Eras;
  disks: Map<string, DiskRec>;
  seats: string[];
  prevSeats: string[];
  shards: Map<number, Placement>;
  /** Copies of a shard where the configuration says nothing: as many as bear the losses that the founder was told. */
  copies: number;
  /** Seats wanted, likewise: as many as bear those losses. Unknown in a value of before there was a choice. */
  seatsWanted?: number;
  changes: Map<string, Outcome>;
  /** Key: id@from. */
  moves: Map<string, MoveRec>;
}
