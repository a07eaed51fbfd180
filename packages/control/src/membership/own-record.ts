/** The member record that this node publishes of itself. */
import { MEMBERSHIP, diskUsesOf, type Kernel } from '@harecross/kernel';
import type { MemberRecord } from './member.js';

/** The fields of a node's own record that change while the process runs. */
export type OwnState = Pick<MemberRecord, 'condition' | 'weight' | 'disk' | 'emptied' | 'inFirstStart'>;

/** Width to which the number in a record's version is padded, because versions are compared as strings. */
const VERSION_DIGITS = 10;
/** A change of the weight is published only if it is at least this large ... */
const MIN_WEIGHT_STEP = 8;
/** ... and at least this share of the published weight. */
const WEIGHT_STEP_SHARE = 1 / 5;

/** The operations of the membership table that `OwnRecord` uses. */
export interface OwnRecordContext {
  scaledPeriodMs(leastMs: number, perMemberMs: number): number;
  publish(version: string, record: MemberRecord): void;
}

/** Publishes this node's record when its state changes. Small changes of the weight are published with a later, larger one. */
export class OwnRecord {
  private state: OwnState = { condition: 'joining', weight: 0 };
  private versionNumber = 0;
  private publishedWeight = 0;
  /** When the record was last published (monotonic clock, ms). */
  private publishedAt = -Infinity;
  /** Whether a timer is set to publish a change of the weight. */
  private weightPublishScheduled = false;

  constructor(
    private readonly kernel: Kernel,
    private readonly context: OwnRecordContext,
  ) {}

  /** The number in the last published version. */
  get version(): number {
    return this.versionNumber;
  }

  /**
   * Changes the state that this node publishes. Small changes of the weight are not published until they add up to a larger one, and
   * changes of the weight alone are published at a limited rate, which falls as the fleet grows.
   */
  update(changes: Partial<OwnState>): void {
    const previous = this.state;
    this.state = { ...previous, ...changes };
    const onlyWeightChanged =
      previous.condition === this.state.condition &&
      previous.disk === this.state.disk &&
      previous.inFirstStart === this.state.inFirstStart &&
      (previous.emptied ?? false) === (this.state.emptied ?? false);
    if (onlyWeightChanged) this.publishWeightIfChanged();
    else this.publish();
  }

  /** Publishes that this node has stopped. */
  publishLeft(): void {
    this.state.condition = 'left';
    this.publish();
  }

  /** Publishes the record with a higher version. Also called when the node's configuration changed, and to refute a suspicion. */
  publish(): void {
    const record = this.createRecord();
    this.publishedWeight = record.weight;
    this.publishedAt = this.kernel.host.clock.now();
    const number = String(++this.versionNumber).padStart(VERSION_DIGITS, '0');
    this.context.publish(`${this.kernel.instanceId}.${number}`, record);
  }

  private createRecord(): MemberRecord {
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
    const step = Math.max(MIN_WEIGHT_STEP, this.publishedWeight * WEIGHT_STEP_SHARE);
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
