/** The value that the fleet agrees on, and the records in it. The fields are stored and sent, some under other names; see `stored-value.ts`. */
import type { DiskUse, FaultTolerance } from '@harecross/kernel';
import type { FleetConfig, Move } from '@harecross/schema';
import { nextIncarnations, type TopicIncarnations } from './topic-incarnations.js';
import { recordRevision, type SubmittedRevision, type RevisionOutcomes } from './revision-outcomes.js';

/**
 * `active`: the disk may hold replicas and a vote. `emptying`: an operator ordered it to be drained. `leaving`: its process is stopping and
 * its replicas and vote move to other disks first, because another machine has replaced it. `lost`: its machine is gone.
 */
export type DiskState = 'active' | 'emptying' | 'leaving' | 'lost';
export interface DiskRecord {
  id: string;
  peer: string;
  domain: string;
  region?: string;
  state: DiskState;
  /** What the disk is used for, the primary use first. Absent in records of older versions: used for everything. */
  uses?: DiskUse[];
  name?: string;
  /** How long opening the disk for the first time took (ms). */
  ms?: number;
  /** The revision of the value in which its machine joined; absent for machines that took part in the bootstrap. */
  machineJoinedRev?: number;
  /** Its machine was added to a running fleet. Absent for machines of the first start, and in records of older versions. */
  addedLater?: true;
  /** A drain order was accepted and not cancelled. Kept when the disk is lost, so that the same order may be sent again. */
  emptyingTaken?: boolean;
}
/**
 * Whether this is the disk's primary use.
 * @example
 * isPrimarilyFor(disk, 'copies') // false for a control node's disk, even if it may hold replicas too
 */
export const isPrimarilyFor = (disk: DiskRecord, use: DiskUse): boolean => (disk.uses?.[0] ?? 'copies') === use;
/**
 * Whether the disk may be used for this.
 * @example
 * isUsedFor(disk, 'copies') // false for the disk of a control node that takes no replicas
 */
export const isUsedFor = (disk: DiskRecord, use: DiskUse): boolean => disk.uses?.includes(use) ?? true;
/**
 * Whether two disks belong to machines of the same role: they have the same uses in the same order of preference. The disks of stores and of
 * control machines may both serve for votes and for replicas, but a store does not take the place of a control machine.
 */
export const hasSameRole = (one: DiskRecord, other: DiskRecord): boolean => one.uses?.join() === other.uses?.join();
/** Whether the first disk's machine joined the domain of both later than the other's did. */
export const joinedLater = (one: DiskRecord, other: DiskRecord): boolean =>
  one.domain === other.domain && (one.machineJoinedRev ?? 0) > (other.machineJoinedRev ?? 0);
/**
 * Whether a machine of the same role was added to the disk's domain later, while the fleet was running. The older machine may then be removed
 * without notice, just when another one fails, so nothing should depend on its disk.
 */
export const isSuperseded = (disk: DiskRecord, disks: Iterable<DiskRecord>): boolean =>
  [...disks].some(
    (other) =>
      other.state === 'active' && other.addedLater === true && hasSameRole(other, disk) && joinedLater(other, disk),
  );
/**
 * The disks with the replicas of a shard in one generation. A generation is established once an owner serves under it: by then a
 * majority of its replicas has the whole history.
 */
export interface Placement {
  gen: number;
  copies: string[];
  /**
   * The replicas of the generation before, if this one replaced a replica in a single step. Until this generation is established, its
   * owner must also fence a majority of these; see `hasFenceQuorum`.
   */
  previous?: string[];
  /** Replaced disks that still have their replica; they keep it until all replicas in `copies` have the history. */
  retained?: string[];
}
export type MoveState = 'running' | 'late' | 'done' | 'missed' | 'refused';
/** Progress of a planned move. Recorded only for moves that have started or will never start. */
export interface MoveRecord {
  state: MoveState;
  why: string;
}
export type ChangeOutcomeRecord = { tag: 'taken'; version: number } | { tag: 'conflict'; version: number };

/** The value that the fleet agrees on. `rev` counts every change, `version` only changes of the configuration by operators. */
export interface FleetValue {
  fleet: string;
  rev: number;
  version: number;
  changeId: string;
  config: FleetConfig;
  /** The revision number that operators gave the configuration in force; a higher one supersedes it. */
  revision?: number;
  /** The operators' document, as JSON text; it is stored and returned, but not interpreted. */
  document?: string;
  /** The digest of the configuration that came into force under each revision. Absent in values of older versions. */
  revisionOutcomes?: RevisionOutcomes;
  /** The version since which the topics of each pattern have existed without interruption. */
  incarnations: TopicIncarnations;
  disks: Map<string, DiskRecord>;
  voters: string[];
  previousVoters: string[];
  shards: Map<number, Placement>;
  /** Replicas per shard if the configuration states none: the number that the fault tolerance requires. */
  copies: number;
  /** The number of voters that the fault tolerance requires. Absent in values of older versions. */
  votersWanted?: number;
  /** The losses that the fleet must survive. Absent in values of older versions, and if the process configs state none. */
  tolerance?: FaultTolerance;
  /** The first outcome of each change id, oldest first; REGISTER.changeIdLimit at most. */
  changes: Map<string, ChangeOutcomeRecord>;
  /** The version in the newest outcome that was evicted: outcomes of change ids that expect this version or a lower one are unknown. */
  changesForgottenTo?: number;
  /** By `moveKey`: id@from. */
  moves: Map<string, MoveRecord>;
}

/** The key of a move in `FleetValue.moves`. */
export const moveKey = (move: Move): string => `${move.id}@${move.from}`;

/**
 * Returns the value with a new configuration, as the next version. Without `revised`, the revision in force stays.
 * @example
 * withConfig(value, { changeId: 'c1', config }).version // value.version + 1
 */
export function withConfig(
  value: FleetValue,
  change: { changeId: string; config: FleetConfig; document?: string; revised?: SubmittedRevision },
): FleetValue {
  const { changeId, config, document, revised } = change;
  const version = value.version + 1;
  const plannedKeys = new Set((config.moves ?? []).map(moveKey));
  const next = {
    ...value,
    version,
    changeId,
    config,
    document,
    incarnations: nextIncarnations(value.incarnations, config, version),
    moves: new Map([...value.moves].filter(([key]) => plannedKeys.has(key))),
  };
  if (!revised) return next;
  return { ...next, revision: revised.revision, revisionOutcomes: recordRevision(value, revised) };
}
