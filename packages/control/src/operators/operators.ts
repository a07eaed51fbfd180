/** Operator requests: configuration changes, planned moves, and the emptying of disks. */
import { HarecrossError, REGISTER, REQUEST, jitteredRetryMs, registerPlugin, type Kernel } from '@harecross/kernel';
import { configFaults, type FleetConfig, type Move, type PathFault } from '@harecross/schema';
import type { MembershipTable } from '../membership/membership-table.js';
import {
  departureBlocker,
  replicaCountOn,
  findDisk,
  isDrainOrdered,
  isDiskUnused,
  moveKey,
} from '../value/fleet-queries.js';
import { OperatorAnswers } from './operator-answers.js';
import { notReadyError, type ConsensusRegister } from '../consensus/consensus-register.js';
import { Submissions, overloaded, type RevisionResult } from './submissions.js';
import {
  withConfig,
  type DiskRecord,
  type MoveState,
  type ChangeOutcomeRecord,
  type FleetValue,
} from '../value/fleet-value.js';

declare module '@harecross/kernel' {
  interface ServiceRegistry {
    operators: Operators;
  }
}

/** The status of a disk in answers to operators. */
interface DiskStatus {
  disk: string;
  state: string;
  copies: number;
  seat: boolean;
}
type DiskOutcome =
  { tag: 'done'; status: DiskStatus } | { tag: 'unknown' } | { tag: 'refused'; why: string } | { tag: 'unclear' };
type ChangeOutcome = ChangeOutcomeRecord | { tag: 'invalid'; faults: PathFault[] } | { tag: 'forgotten' };

/**
 * Serves the requests of operators from the agreed value, and changes it for them.
 * @example
 * await kernel.use('operators').submit({ changeId: 'c1', expect: 3, config }); // { version: 4 }
 * await kernel.use('operators').submit({ revision: 17, document, config }); // { version: 5, revision: 17, outcome: 'accepted' }
 */
export class Operators {
  private readonly submissions: Submissions;
  private readonly answers: OperatorAnswers;
  /** Number of changes without a revision that are in progress at this node. */
  private changesInFlight = 0;

  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
    private register: ConsensusRegister,
  ) {
    this.answers = new OperatorAnswers(kernel, register);
    this.submissions = new Submissions(kernel, register, (value, config) => this.machineFaults(value, config));
  }

  /**
   * Submits a configuration. With a revision, the highest one wins: a submission that isn't above it is answered with the one in force, or
   * fails with `conflict` if another configuration came into force under the same revision. Without a revision, a repeat is answered
   * with the first outcome of its changeId. Errors: `invalid_config`, `conflict`, `overloaded` (too many at once), `outcome_unknown` (the
   * outcome is no longer stored), and `not_ready` or `no_majority`, within REGISTER.operatorAnswerMs if no majority answers, else after
   * REGISTER.submitMs. A submission that failed with one of these two may still come into force, until REGISTER.submitMs after it was
   * last sent to this node.
   */
  async submit(request: {
    changeId?: string;
    expect?: number;
    revision?: number;
    document?: unknown;
    config: unknown;
  }): Promise<{ version: number } | RevisionResult> {
    const { revision, changeId, config } = request;
    this.answers.rejectIfStale('SubmitConfig');
    if (revision !== undefined)
      return this.answers.withinAnswerTime('SubmitConfig', this.submissions.submit({ ...request, revision }));
    const document = request.document === undefined ? undefined : JSON.stringify(request.document);
    return this.change('SubmitConfig', changeId!, request.expect, () => ({ config, document }));
  }

  /** Replaces the planned moves in the configuration in force. */
  planMoves(request: { changeId: string; expect?: number; moves: Move[] }): Promise<{ version: number }> {
    return this.change('PlanMoves', request.changeId, request.expect, (value) => ({
      config: { ...value.config, moves: request.moves },
      document: value.document,
    }));
  }

  private async change(
    step: string,
    changeId: string,
    expect: number | undefined,
    buildChange: (value: FleetValue) => { config: unknown; document?: string },
  ): Promise<{ version: number }> {
    this.answers.rejectIfStale(step);
    if (!this.register.value) throw notReadyError(this.kernel, step);
    if (this.changesInFlight >= REGISTER.concurrentChangeLimit) throw overloaded(this.kernel, step);
    this.changesInFlight++;
    try {
      const changed = this.register.change(
        (value) => this.applyChange(value, changeId, expect, buildChange(value)),
        REGISTER.submitMs,
      );
      const outcome = await this.answers.withinAnswerTime(step, changed);
      return this.versionOrThrow(step, outcome);
    } finally {
      this.changesInFlight--;
    }
  }

  /**
   * The outcome of a change with this id, and the value that records it. Refusals are returned as outcomes and not thrown: the register
   * then has the value that they were based on accepted again, so that an earlier attempt of the same change can't come into force after
   * the refusal.
   */
  private applyChange(
    value: FleetValue,
    changeId: string,
    expect: number | undefined,
    change: { config: unknown; document?: string },
  ): { next?: FleetValue; out: ChangeOutcome } {
    const first = value.changes.get(changeId);
    if (first) return { out: first };
    if (expect !== undefined && expect !== value.version) {
      // The outcome of its first attempt may have been discarded: then whether it was accepted or refused is unknown.
      if (expect <= (value.changesForgottenTo ?? -1)) return { out: { tag: 'forgotten' } };
      const out = { tag: 'conflict' as const, version: value.version };
      return { next: { ...value, ...withChangeOutcome(value, changeId, out) }, out };
    }
    const faults = configFaults(change.config);
    if (!faults.length) faults.push(...this.machineFaults(value, change.config as FleetConfig));
    if (faults.length) return { out: { tag: 'invalid', faults } };
    const next = withConfig(value, { changeId, config: change.config as FleetConfig, document: change.document });
    const out = { tag: 'taken' as const, version: next.version };
    return { next: { ...next, ...withChangeOutcome(value, changeId, out) }, out };
  }

  private versionOrThrow(step: string, outcome: ChangeOutcome): { version: number } {
    const peer = this.kernel.self;
    switch (outcome.tag) {
      case 'taken':
        return { version: outcome.version };
      case 'conflict':
        throw new HarecrossError({ tag: 'conflict', step, peer, version: outcome.version });
      case 'invalid':
        throw new HarecrossError({ tag: 'invalid_config', step, peer, faults: outcome.faults });
      case 'forgotten': {
        const retryAfterMs = jitteredRetryMs(this.kernel.host.random, REQUEST.retryMs);
        throw new HarecrossError({ tag: 'outcome_unknown', step, peer, retryAfterMs });
      }
    }
  }

  /** Faults in what a configuration says about machines; moves that are already in force are not checked again. */
  private machineFaults(value: FleetValue, config: FleetConfig): { path: string; fault: string }[] {
    const now = this.kernel.host.clock.wall();
    const movesInForce = new Set((value.config.moves ?? []).map((move) => JSON.stringify(move)));
    const faults: { path: string; fault: string }[] = [];
    (config.moves ?? []).forEach((move, i) => {
      if (movesInForce.has(JSON.stringify(move))) return;
      if (move.until <= now) faults.push({ path: `/moves/${i}/until`, fault: 'is in the past' });
      const isKnown =
        this.membership.members.has(move.node) || [...value.disks.values()].some((disk) => disk.peer === move.node);
      if (move.kind !== 'add' && !isKnown)
        faults.push({ path: `/moves/${i}/node`, fault: `no machine '${move.node}' is known` });
    });
    (config.placement ?? []).forEach((placement, i) => {
      if (!value.shards.has(placement.shard))
        faults.push({ path: `/placement/${i}/shard`, fault: `there is no shard ${placement.shard}` });
      placement.nodes.forEach((node, j) => {
        if (![...value.disks.values()].some((disk) => disk.peer === node && disk.state !== 'lost'))
          faults.push({ path: `/placement/${i}/nodes/${j}`, fault: `no disk is known at '${node}'` });
      });
    });
    return faults;
  }

  /** The configuration in force, confirmed by a majority, with the operators' revision and document. */
  async readConfig(): Promise<{
    version: number;
    changeId: string;
    revision?: number;
    document?: unknown;
    config: unknown;
  }> {
    const value = await this.answers.confirmedValue('ReadConfig');
    return {
      version: value.version,
      changeId: value.changeId,
      ...(value.revision === undefined ? {} : { revision: value.revision }),
      ...(value.document === undefined ? {} : { document: JSON.parse(value.document) }),
      config: value.config,
    };
  }

  /**
   * Starts or cancels the emptying of a disk. A repeat of an accepted request succeeds again, whatever has happened to the disk since.
   * A request with a change id is executed only once, however late it is repeated: another request may have changed the state since.
   */
  async setDiskState(disk: string, state: 'active' | 'emptying', step: string, changeId?: string): Promise<DiskStatus> {
    this.answers.rejectIfStale(step);
    if (!this.register.value) throw notReadyError(this.kernel, step);
    const changed = this.register.change(
      (value) => this.applyDiskRequest(value, disk, state, changeId),
      REGISTER.submitMs,
    );
    const outcome = await this.answers.withinAnswerTime(step, changed);
    const peer = this.kernel.self;
    switch (outcome.tag) {
      case 'done':
        return outcome.status;
      case 'unknown':
        throw new HarecrossError({ tag: 'unknown_disk', step, peer, disk });
      case 'refused':
        throw new HarecrossError({ tag: 'wont_hold', step, peer, detail: outcome.why });
      case 'unclear':
        throw notReadyError(this.kernel, step);
    }
  }

  /** The outcome of a request to set a disk's state, applied at most once for each change id. */
  private applyDiskRequest(
    value: FleetValue,
    disk: string,
    state: 'active' | 'emptying',
    changeId: string | undefined,
  ): { next?: FleetValue; out: DiskOutcome } {
    if (changeId === undefined) return this.applyDiskState(value, disk, state);
    const record = findDisk(value, disk);
    if (record && value.changes.has(changeId))
      return { out: { tag: 'done', status: diskStatusOf(value, record, record.state) } };
    const result = this.applyDiskState(value, disk, state);
    if (result.out.tag !== 'done') return result;
    const outcome: ChangeOutcomeRecord = { tag: 'taken', version: value.version };
    return { next: { ...(result.next ?? value), ...withChangeOutcome(value, changeId, outcome) }, out: result.out };
  }

  /** The outcome of a request to set a disk's state. As in `applyChange`, refusals are returned as outcomes. */
  private applyDiskState(
    value: FleetValue,
    disk: string,
    state: 'active' | 'emptying',
  ): { next?: FleetValue; out: DiskOutcome } {
    const record = findDisk(value, disk);
    if (!record) return { out: { tag: 'unknown' } };
    const status = diskStatusOf(value, record, state);
    if (record.state === state) return { out: { tag: 'done', status } };
    const isRepeat = state === 'emptying' && isDrainOrdered(value, disk);
    if (record.state === 'lost') {
      if (isRepeat) return { out: { tag: 'done', status: { ...status, state: record.state } } };
      return { out: { tag: 'refused', why: `disk ${disk} is lost` } };
    }
    const reasonNotToEmpty =
      state === 'emptying' ? departureBlocker(value, { kind: 'empty' }, record, this.membership) : undefined;
    // The request was accepted before, for a disk that was replaced since: the sender repeats it until it can start again.
    if (reasonNotToEmpty !== undefined)
      return { out: isRepeat ? { tag: 'unclear' } : { tag: 'refused', why: reasonNotToEmpty } };
    const emptyingTaken = state === 'emptying' ? true : undefined;
    const disks = new Map(value.disks).set(record.id, { ...record, state, emptyingTaken });
    return { next: { ...value, disks }, out: { tag: 'done', status } };
  }

  /** The progress of emptying a disk, confirmed by a majority, because operators remove a machine that is reported as emptied. */
  async emptyStatus(disk: string): Promise<DiskStatus> {
    const value = await this.answers.confirmedValue('EmptyStatus');
    const record = findDisk(value, disk);
    if (!record) throw new HarecrossError({ tag: 'unknown_disk', step: 'EmptyStatus', peer: this.kernel.self, disk });
    const { id } = record;
    return {
      disk: id,
      state: record.state === 'emptying' && isDiskUnused(value, id) ? 'emptied' : record.state,
      copies: replicaCountOn(value, id),
      seat: value.voters.includes(id),
    };
  }

  /** The planned moves in force, confirmed by a majority, with the state of each. */
  async moves(): Promise<{ version: number; moves: (Move & { state: MoveState | 'planned'; why: string })[] }> {
    const { version, config, moves } = await this.answers.confirmedValue('Moves');
    return {
      version,
      moves: (config.moves ?? []).map((move) => ({
        ...move,
        ...(moves.get(moveKey(move)) ?? { state: 'planned', why: '' }),
      })),
    };
  }
}

const diskStatusOf = (value: FleetValue, disk: DiskRecord, state: string): DiskStatus => ({
  disk: disk.id,
  state,
  copies: replicaCountOn(value, disk.id),
  seat: value.voters.includes(disk.id),
});

/** The change outcomes of a value with one more; the oldest beyond REGISTER.changeIdLimit are discarded. */
function withChangeOutcome(
  value: FleetValue,
  changeId: string,
  outcome: ChangeOutcomeRecord,
): Pick<FleetValue, 'changes' | 'changesForgottenTo'> {
  const changes = new Map(value.changes).set(changeId, outcome);
  let { changesForgottenTo } = value;
  for (const [oldest, { version }] of changes) {
    if (changes.size <= REGISTER.changeIdLimit) break;
    changes.delete(oldest);
    changesForgottenTo = version;
  }
  return { changes, changesForgottenTo };
}

registerPlugin({
  name: 'operators',
  needs: ['membership', 'register'],
  setup: (kernel) => new Operators(kernel, kernel.use('membership'), kernel.use('register')),
});
