/** What operators ask of the fleet: configurations, the calendar of moves, and the emptying of disks. */
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

/** What a disk is told to have, as operators are answered. */
interface DiskStatus {
  disk: string;
  state: string;
  copies: number;
  seat: boolean;
}
type DiskOutcome =
  { tag: 'done'; told: DiskStatus } | { tag: 'unknown' } | { tag: 'refused'; why: string } | { tag: 'unclear' };
type ChangeOutcome = ChangeOutcomeRecord | { tag: 'invalid'; faults: PathFault[] } | { tag: 'forgotten' };

/**
 * What operators ask of the register.
 * @example
 * await k.use('operators').submit({ changeId: 'c1', expect: 3, config }); // { version: 4 }
 * await k.use('operators').submit({ revision: 17, document, config }); // { version: 5, revision: 17, outcome: 'accepted' }
 */
export class Operators {
  private readonly submissions: Submissions;
  private readonly answers: OperatorAnswers;
  /** Changes by change id that are under way at this node. */
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
   * Takes a configuration. With a revision the highest holds: what is not above it is answered with the one in force, and fails with
   * `conflict` where another configuration came into force under its revision. Without one the first outcome of its changeId is
   * given. Fails with `invalid_config`, `conflict`, `overloaded` (too many at once), `outcome_unknown` (its outcome is forgotten), and
   * with `not_ready` or `no_majority`: within REGISTER.operatorAnswerMs where no majority answers, else after REGISTER.submitMs. One that failed so
   * may still come into force, up to REGISTER.submitMs after it was last sent to this node.
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

  /** Takes a new calendar into the configuration in force. */
  planMoves(b: { changeId: string; expect?: number; moves: Move[] }): Promise<{ version: number }> {
    return this.change('PlanMoves', b.changeId, b.expect, (v) => ({
      config: { ...v.config, moves: b.moves },
      document: v.document,
    }));
  }

  private async change(
    step: string,
    changeId: string,
    expect: number | undefined,
    make: (value: FleetValue) => { config: unknown; document?: string },
  ): Promise<{ version: number }> {
    this.answers.rejectIfStale(step);
    if (!this.register.value) throw notReadyError(this.kernel, step);
    if (this.changesInFlight >= REGISTER.concurrentChangeLimit) throw overloaded(this.kernel, step);
    this.changesInFlight++;
    try {
      const changed = this.register.change(
        (value) => this.applyChange(value, changeId, expect, make(value)),
        REGISTER.submitMs,
      );
      const outcome = await this.answers.withinAnswerTime(step, changed);
      return this.versionOf(step, outcome);
    } finally {
      this.changesInFlight--;
    }
  }

  /**
   * The outcome of a change by its id, and the value with it. Refusals are outcomes too, not thrown here: the register then has the
   * value that they were judged by accepted anew, so that an earlier try of the same change can't come into force after them.
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
      // Its first try may be one of those that are forgotten: neither refused nor taken is true then for sure.
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

  private versionOf(step: string, outcome: ChangeOutcome): { version: number } {
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

  /** Faults of what a configuration says of machines; moves that are already in force are not judged again. */
  private machineFaults(v: FleetValue, c: FleetConfig): { path: string; fault: string }[] {
    const now = this.kernel.host.clock.wall();
    const had = new Set((v.config.moves ?? []).map((m) => JSON.stringify(m)));
    const out: { path: string; fault: string }[] = [];
    (c.moves ?? []).forEach((m, i) => {
      if (had.has(JSON.stringify(m))) return;
      if (m.until <= now) out.push({ path: `/moves/${i}/until`, fault: 'is in the past' });
      const known = this.membership.members.has(m.node) || [...v.disks.values()].some((d) => d.peer === m.node);
      if (m.kind !== 'add' && !known) out.push({ path: `/moves/${i}/node`, fault: `no machine '${m.node}' is known` });
    });
    (c.placement ?? []).forEach((p, i) => {
      if (!v.shards.has(p.shard)) out.push({ path: `/placement/${i}/shard`, fault: `there is no shard ${p.shard}` });
      p.nodes.forEach((n, j) => {
        if (![...v.disks.values()].some((d) => d.peer === n && d.state !== 'lost'))
          out.push({ path: `/placement/${i}/nodes/${j}`, fault: `no disk is known at '${n}'` });
      });
    });
    return out;
  }

  /** The configuration in force, confirmed at a majority, with the operators' own number and words. */
  async readConfig(): Promise<{
    version: number;
    changeId: string;
    revision?: number;
    document?: unknown;
    config: unknown;
  }> {
    const v = await this.answers.confirmedValue('ReadConfig');
    return {
      version: v.version,
      changeId: v.changeId,
      ...(v.revision === undefined ? {} : { revision: v.revision }),
      ...(v.document === undefined ? {} : { document: JSON.parse(v.document) }),
      config: v.config,
    };
  }

  /**
   * Begins or takes back the emptying of a disk. An order that was taken is answered again, whatever has become of the disk since. With a
   * change id, an order that was carried out is not carried out again, however late its repeat comes: another may have been given since.
   */
  async setDiskState(disk: string, state: 'active' | 'emptying', step: string, changeId?: string): Promise<DiskStatus> {
    this.answers.rejectIfStale(step);
    if (!this.register.value) throw notReadyError(this.kernel, step);
    const changed = this.register.change((value) => this.setDiskOnce(value, disk, state, changeId), REGISTER.submitMs);
    const outcome = await this.answers.withinAnswerTime(step, changed);
    const peer = this.kernel.self;
    switch (outcome.tag) {
      case 'done':
        return outcome.told;
      case 'unknown':
        throw new HarecrossError({ tag: 'unknown_disk', step, peer, disk });
      case 'refused':
        throw new HarecrossError({ tag: 'wont_hold', step, peer, detail: outcome.why });
      case 'unclear':
        throw notReadyError(this.kernel, step);
    }
  }

  /** What becomes of an order on a disk, at most once for a change id. */
  private setDiskOnce(
    value: FleetValue,
    disk: string,
    state: 'active' | 'emptying',
    changeId: string | undefined,
  ): { next?: FleetValue; out: DiskOutcome } {
    if (changeId === undefined) return this.applyDiskState(value, disk, state);
    const found = findDisk(value, disk);
    if (found && value.changes.has(changeId))
      return { out: { tag: 'done', told: diskStatusOf(value, found, found.state) } };
    const made = this.applyDiskState(value, disk, state);
    if (made.out.tag !== 'done') return made;
    const outcome: ChangeOutcomeRecord = { tag: 'taken', version: value.version };
    return { next: { ...(made.next ?? value), ...withChangeOutcome(value, changeId, outcome) }, out: made.out };
  }

  /** What becomes of an order on a disk. As with changes, refusals are outcomes. */
  private applyDiskState(
    value: FleetValue,
    disk: string,
    state: 'active' | 'emptying',
  ): { next?: FleetValue; out: DiskOutcome } {
    const found = findDisk(value, disk);
    if (!found) return { out: { tag: 'unknown' } };
    const told = diskStatusOf(value, found, state);
    if (found.state === state) return { out: { tag: 'done', told } };
    const repeated = state === 'emptying' && isDrainOrdered(value, disk);
    if (found.state === 'lost') {
      if (repeated) return { out: { tag: 'done', told: { ...told, state: found.state } } };
      return { out: { tag: 'refused', why: `disk ${disk} is lost` } };
    }
    const bar = state === 'emptying' ? departureBlocker(value, { kind: 'empty' }, found, this.membership) : undefined;
    // Taken before, for a disk that was replaced since: it is begun again as soon as that holds.
    if (bar !== undefined) return { out: repeated ? { tag: 'unclear' } : { tag: 'refused', why: bar } };
    const emptyingTaken = state === 'emptying' ? true : undefined;
    const disks = new Map(value.disks).set(found.id, { ...found, state, emptyingTaken });
    return { next: { ...value, disks }, out: { tag: 'done', told } };
  }

  /** How far the emptying of a disk has come, confirmed at a majority: a machine that is said to be emptied is taken away. */
  async emptyStatus(disk: string): Promise<DiskStatus> {
    const v = await this.answers.confirmedValue('EmptyStatus');
    const d = findDisk(v, disk);
    if (!d) throw new HarecrossError({ tag: 'unknown_disk', step: 'EmptyStatus', peer: this.kernel.self, disk });
    const { id } = d;
    return {
      disk: id,
      state: d.state === 'emptying' && isDiskUnused(v, id) ? 'emptied' : d.state,
      copies: replicaCountOn(v, id),
      seat: v.voters.includes(id),
    };
  }

  /** The calendar in force, confirmed at a majority, with how far each move has come. */
  async moves(): Promise<{ version: number; moves: (Move & { state: MoveState | 'planned'; why: string })[] }> {
    const { version, config, moves } = await this.answers.confirmedValue('Moves');
    return {
      version,
      moves: (config.moves ?? []).map((m) => ({ ...m, ...(moves.get(moveKey(m)) ?? { state: 'planned', why: '' }) })),
    };
  }
}

const diskStatusOf = (value: FleetValue, disk: DiskRecord, state: string): DiskStatus => ({
  disk: disk.id,
  state,
  copies: replicaCountOn(value, disk.id),
  seat: value.voters.includes(disk.id),
});

/** The changes of a value with one more outcome; the oldest beyond the bound are forgotten. */
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
  setup: (k) => new Operators(k, k.use('membership'), k.use('register')),
});
