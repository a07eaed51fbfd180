/**
 * Bounds the agreed value: records of disks that are gone and hold nothing are forgotten, so that replacing machines for years
 * leaves the value as large as the fleet, not as its past.
 */
import { PLACEMENT, type Kernel } from '@harecross/kernel';
import type { DurableState } from '@harecross/state';
import type { MembershipTable } from '../membership/membership-table.js';
import type { PlannedStep } from './planner.js';
import { isDiskUnused } from '../value/fleet-queries.js';
import type { ConsensusRegister } from '../consensus/consensus-register.js';
import type { DiskRecord, FleetValue } from '../value/fleet-value.js';

/** The key under which a disk keeps that it was emptied. */
const EMPTIED_ROW = 'emptied';

/**
 * Whether nothing in the value needs the record of this disk any more: the fleet has given it up (lost), or has emptied it; no shard
 * has a replica on it; it votes neither now nor in the majority that the next change still asks; and no planned move names its machine.
 *
 * Forgetting such a record is safe when the disk comes back. It joins as any unknown disk does, with no replica and no vote, exactly as
 * a lost disk with its record would. What it has on disk is fenced: its promises stay there, a replica's entries are compared with the
 * shard's history before they count, and its accepted value has a lower ballot than what a majority of the voters has accepted since.
 */
export function isForgettable(value: FleetValue, disk: DiskRecord): boolean {
  if (disk.state === 'active') return false;
  if (!isDiskUnused(value, disk.id)) return false;
  return !(value.config.moves ?? []).some((move) => move.node === disk.peer);
}

/**
 * Chooses the records that are forgotten: after `PLACEMENT.forgetDiskMs` without the machine, by this controller's own observation, so that
 * an operator who asks for the outcome of an emptying is still answered; sooner when more than `PLACEMENT.forgettableRecordLimit` are waiting.
 * @example
 * const next = forgetting.plan(value); // undefined when nothing is due
 */
export class ForgetPlanner {
  /** Since when each record could have been forgotten, by our clock, in the order in which we noticed. */
  private since = new Map<string, number>();

  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
  ) {}

  /** The value without the records that are due, and the disks' ids; undefined when none is. */
  plan(value: FleetValue): { next: FleetValue; forgotten: string[] } | undefined {
    this.observe(value);
    const now = this.kernel.host.clock.now();
    const surplus = this.since.size - PLACEMENT.forgettableRecordLimit;
    const forgotten = [...this.since]
      .filter(([, since], index) => index < surplus || now - since >= PLACEMENT.forgetDiskMs)
      .map(([id]) => id);
    if (!forgotten.length) return undefined;
    const disks = new Map(value.disks);
    for (const id of forgotten) disks.delete(id);
    return { next: { ...value, disks }, forgotten };
  }

  /** What is due as a step of the controller. */
  step(value: FleetValue): PlannedStep | undefined {
    const due = this.plan(value);
    return due && { next: due.next, why: `records of ${due.forgotten.join(', ')} are forgotten` };
  }

  private observe(value: FleetValue): void {
    const now = this.kernel.host.clock.now();
    const waiting = [...value.disks.values()].filter((disk) => isForgettable(value, disk) && !this.isThere(disk));
    const ids = new Set(waiting.map((disk) => disk.id));
    for (const id of this.since.keys()) if (!ids.has(id)) this.since.delete(id);
    for (const id of ids) if (!this.since.has(id)) this.since.set(id, now);
  }

  /** A machine that may still be running with this disk: suspected is not gone. */
  private isThere(disk: DiskRecord): boolean {
    const member = this.membership.memberOfDisk(disk.id);
    return member?.state === 'live' || member?.state === 'suspect';
  }
}

/**
 * A disk keeps by itself that it was emptied, and its member says so: long after its record was forgotten it joins as an emptied disk,
 * which takes no replica and no vote, until an operator takes the emptying back. Follows the agreed value.
 */
export function persistEmptiedState(
  kernel: Kernel,
  membership: MembershipTable,
  register: ConsensusRegister,
  store: DurableState,
): void {
  let emptied = store.get(EMPTIED_ROW) === 'yes';
  membership.updateOwnState({ emptied });
  const follow = (value: FleetValue | undefined): void => {
    const state = register.disk === undefined ? undefined : value?.disks.get(register.disk)?.state;
    if (state === undefined || state === 'lost') return;
    if (emptied === (state === 'emptying')) return;
    emptied = !emptied;
    const saved = emptied;
    store.db
      .commit(() => store.set(EMPTIED_ROW, saved ? 'yes' : 'no'))
      .then(
        () => membership.updateOwnState({ emptied: saved }),
        () => kernel.incrementCounter('forget.unsaved'),
      );
  };
  kernel.addSubscription(register.value$.subscribe(follow));
}
