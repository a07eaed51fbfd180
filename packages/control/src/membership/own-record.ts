/** The record that this node publishes of itself. */
import { MEMBERSHIP, diskUsesOf, type Kernel } from '@harecross/kernel';
import type { MemberRecord } from './member.js';

/** The parts of the own record that change while the process runs. */
export type OwnState = Pick<MemberRecord, 'condition' | 'weight' | 'disk' | 'emptied'>;

/** Digits of a record's version: versions compare as strings. */
const VERSION_DIGITS = 10;
/** A weight that changed by less than this is not worth a message. */
const LEAST_WEIGHT_STEP = 8;
/** ... nor one that changed by less than this share. */
const WEIGHT_STEP_SHARE = 1 / 5;

/** What the own record needs of the membership table. */
export interface OwnRecordContext {
  scaledPeriodMs(leastMs: number, perMemberMs: number): number;
  publish(version: string, record: MemberRecord): void;
}

/** Publishes this node's record at each change of its state; small changes of weight wait for a larger one. */
export class OwnRecord {
  private state: OwnState = { condition: 'joining', weight: 0 };
  private versionNumber = 0;
  private publishedWeight = 0;
  /** When the record was last published (steady clock, ms), and whether a change of weight waits for its time. */
  private publishedAt = -Infinity;
  private weightPublishScheduled = false;

  constructor(
    private readonly kernel: Kernel,
    private readonly context: OwnRecordContext,
  ) {}

  /** The number of the version published last. */
  get version(): number {
    return this.versionNumber;
  }

  /** Changes what we publish of ourselves. Small changes of weight wait for a larger one, and in a large fleet for some time. */
  update(changes: Partial<OwnState>): void {
    const before = this.state;
    this.state = { ...before, ...changes };
    const onlyWeightChanged =
      before.condition === this.state.condition &&
      before.disk === this.state.disk &&
      (before.emptied ?? false) === (this.state.emptied ?? false);
    if (onlyWeightChanged) this.publishWeightIfChanged();
    else this.publish();
  }

  /** Publishes the record that says that we have stopped. */
  publishLeft(): void {
    this.state.condition = 'left';
    this.publish();
  }

  /** Publishes the record under a higher version; also where the settings of the process changed, or somebody suspects us. */
  publish(): void {
    const record = this.record();
    this.publishedWeight = record.weight;
    this.publishedAt = this.kernel.host.clock.now();
    const number = String(++this.versionNumber).padStart(VERSION_DIGITS, '0');
    this.context.publish(`${this.kernel.instanceId}.${number}`, record);
  }

  private record(): MemberRecord {
    const { config, db } = this.kernel.host;
    const record: MemberRecord = {
      peer: this.kernel.self,
      client: config.client,
      domain: config.domain,
      role: config.role,
      name: config.name ?? this.kernel.self,
      inst: this.kernel.instanceId,
      packs: true,
      ...this.state,
    };
    const region = config.domains?.[config.domain];
    if (region !== undefined) record.region = region;
    if (record.disk === undefined) return record;
    record.diskUses = diskUsesOf(config);
    record.jointFences = true;
    if (db?.openMs !== undefined) record.diskMs = Math.round(db.openMs * 10) / 10;
    return record;
  }

  private publishWeightIfChanged(): void {
    const step = Math.max(LEAST_WEIGHT_STEP, this.publishedWeight * WEIGHT_STEP_SHARE);
    if (this.weightPublishScheduled || Math.abs(this.state.weight - this.publishedWeight) < step) return;
    const { clock } = this.kernel.host;
    const gapMs = this.context.scaledPeriodMs(0, MEMBERSHIP.weightGapPerMemberMs);
    const waitMs = this.publishedAt + gapMs - clock.now();
    if (waitMs <= 0) {
      this.publish();
      return;
    }
    this.weightPublishScheduled = true;
    clock.after(waitMs, () => {
      this.weightPublishScheduled = false;
      if (this.kernel.phase !== 'stopped') this.publishWeightIfChanged();
    });
  }
}
