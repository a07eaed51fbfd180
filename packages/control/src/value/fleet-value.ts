/** The one value that the fleet agrees on, and the records in it. */
import type { DiskUse, FaultTolerance } from '@harecross/kernel';
import type { FleetConfig, Move } from '@harecross/schema';
import { nextIncarnations, type TopicIncarnations } from './topic-incarnations.js';
import { recordRevision, type SubmittedRevision, type RevisionOutcomes } from './revision-outcomes.js';

/**
 * `active`: it takes replicas and votes. `emptying`: an operator has it emptied. `leaving`: its process is stopping, and what it has goes
 * to others first, since another machine is there in its place. `lost`: its machine is gone.
 */
export type DiskState = 'active' | 'emptying' | 'leaving' | 'lost';
/** `ms`: how long it took when it was first opened. `uses`: what the disk is for; a record of before there was a choice has none and is for everything. */
export interface DiskRecord {
  id: string;
  peer: string;
  domain: string;
  region?: string;
  state: DiskState;
  uses?: DiskUse[];
  name?: string;
  ms?: number;
  /** The revision of the value in which its machine joined; the machines of the bootstrap have none. */
  machineJoinedRev?: number;
  /** An order to empty it was taken, and not taken back; it stays when the disk is lost, so that the order may be sent again. */
  emptyingTaken?: boolean;
}
/**
 * Whether a disk is for this before anything else.
 * @example
 * firstFor(disk, 'copies') // false for a control node's, though it may take copies too
 */
export const isPrimarilyFor = (d: DiskRecord, use: DiskUse): boolean => (d.uses?.[0] ?? 'copies') === use;
/**
 * Whether a disk is for this.
 * @example
 * usedFor(disk, 'copies') // false for a control node's
 */
export const isUsedFor = (d: DiskRecord, use: DiskUse): boolean => d.uses?.includes(use) ?? true;
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
export interface MoveRecord {
  state: MoveState;
  why: string;
}
export type ChangeOutcomeRecord = { tag: 'taken'; version: number } | { tag: 'conflict'; version: number };

/** The one value the fleet agrees on. rev counts every change, version only the operators'. */
export interface FleetValue {
  fleet: string;
  rev: number;
  version: number;
  changeId: string;
  config: FleetConfig;
  /** The operators' own number of what is in force; the highest holds. */
  revision?: number;
  /** The operators' own words, as JSON text: nothing in here reads them. */
  document?: string;
  /** What came into force under which revision. Unknown in a value of before outcomes were kept by content. */
  revisionOutcomes?: RevisionOutcomes;
  /** Since which version the topics of a pattern have been there without a break. */
  incarnations: TopicIncarnations;
  disks: Map<string, DiskRecord>;
  voters: string[];
  previousVoters: string[];
  shards: Map<number, Placement>;
  /** Replicas of a shard where the configuration says nothing: as many as bear the tolerance. */
  copies: number;
  /** Voters wanted, likewise. Unknown in a value of before there was a choice. */
  votersWanted?: number;
  /** What the fleet bears. Unknown in a value of before it was kept, and where the processes are told none. */
  tolerance?: FaultTolerance;
  /** First outcomes by change id, the oldest first; REGISTER.changeIdLimit at most. */
  changes: Map<string, ChangeOutcomeRecord>;
  /** The version told by the newest outcome that was forgotten: nothing is known of a change id that expects no more than this. */
  changesForgottenTo?: number;
  /** Key: id@from. */
  moves: Map<string, MoveRecord>;
}

/** The key of a move in the value's record of moves. */
export const moveKey = (move: Move): string => `${move.id}@${move.from}`;

/**
 * The value with a configuration in it, as the next version. Without a revision the one in force stays.
 * @example
 * withConfig(value, { changeId: 'c1', config }).version // value.version + 1
 */
export function withConfig(
  value: FleetValue,
  change: { changeId: string; config: FleetConfig; document?: string; revised?: SubmittedRevision },
): FleetValue {
  const { changeId, config, document, revised } = change;
  const version = value.version + 1;
  const planned = new Set((config.moves ?? []).map(moveKey));
  const next = {
    ...value,
    version,
    changeId,
    config,
    document,
    incarnations: nextIncarnations(value.incarnations, config, version),
    moves: new Map([...value.moves].filter(([key]) => planned.has(key))),
  };
  if (!revised) return next;
  return { ...next, revision: revised.revision, revisionOutcomes: recordRevision(value, revised) };
}
