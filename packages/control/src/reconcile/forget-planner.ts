/**
 * Bounds the agreed value: records of disks that are gone and hold nothing are removed ("forgotten"). The value's size then depends on the
 * size of the fleet, and not on how many machines were replaced over the years.
 */
import { PLACEMENT, type Kernel } from '@harecross/kernel';
import type { DurableState } from '@harecross/state';
import type { MembershipTable } from '../membership/membership-table.js';
import type { PlannedStep } from './planner.js';
import { isDiskUnused } from '../value/fleet-queries.js';
import type { ConsensusRegister } from '../consensus/consensus-register.js';
import type { DiskRecord, FleetValue } from '../value/fleet-value.js';

/** The key under which a disk stores whether it was emptied. */
const EMPTIED_KEY = 'emptied';

/**
 * Whether nothing in the value needs the record of this disk any more: the disk is not active but lost, emptied or leaving; no shard has a
 * replica on it; it is neither a voter nor a previous voter, of whom the next change still needs a majority; and no planned move names
 * its machine.
 *
 * Removing such a record is safe even if the disk comes back. It joins as any unknown disk does, with no replica and no vote, exactly as
 * a lost disk with its record would. The data on it is fenced: its promises are still stored, a replica's entries are compared with the
 * shard's history before they count, and its accepted value has a lower ballot than what a majority of the voters has accepted since.
 */
export function isForgettable(value: FleetValue, disk: DiskRecord): boolean {
  if (disk.state === 'active') return false;
  if (!isDiskUnused(value, disk.id)) return false;
  return !(value.config.moves ?? []).some((move) => move.node === disk.peer);
}

/**
 * Chooses the records to remove. A record is due once this controller itself has found it forgettable, with the machine away, for
 * `PLACEMENT.forgetDiskMs`: until then an operator who asks for the outcome of an emptying still gets an answer. The oldest are due sooner
 * while more than `PLACEMENT.forgettableRecordLimit` are waiting.
 * @example
 * const due = planner.plan(value); // undefined while nothing is due
 */
export class ForgetPlanner {
  /** When this node first found each record forgettable (steady clock, ms), by disk id, oldest first. */
  private since = new Map<string, number>();

  constructor(
    private kernel: Kernel,
    private membership: MembershipTable,
  ) {}

  /** The value without the records that are due, and the ids of their disks; undefined when none is due. */
  plan(value: FleetValue): { next: FleetValue; forgotten: string[] } | undefined {
    this.observe(value);
    const now = this.kernel.host.clock.now();
    const excessCount = this.since.size - PLACEMENT.forgettableRecordLimit;
    const forgotten = [...this.since]
      .filter(([, since], index) => index < excessCount || now - since >= PLACEMENT.forgetDiskMs)
      .map(([id]) => id);
    if (!forgotten.length) return undefined;
    const disks = new Map(value.disks);
    for (const id of forgotten) disks.delete(id);
    return { next: { ...value, disks }, forgotten };
  }

  /** The same as a step of the controller. */
  step(value: FleetValue): PlannedStep | undefined {
    const due = this.plan(value);
    return due && { next: due.next, why: `records of disks ${due.forgotten.join(', ')} are removed` };
  }

  private observe(value: FleetValue): void {
    const now = this.kernel.host.clock.now();
    const waiting = [...value.disks.values()].filter((disk) => isForgettable(value, disk) && !this.mayBeRunning(disk));
    const ids = new Set(waiting.map((disk) => disk.id));
    for (const id of this.since.keys()) if (!ids.has(id)) this.since.delete(id);
    for (const id of ids) if (!this.since.has(id)) this.since.set(id, now);
  }

  /** Whether a machine may still be running with this disk: a suspected machine may be alive. */
  private mayBeRunning(disk: DiskRecord): boolean {
    const member = this.membership.memberOfDisk(disk.id);
    return member?.state === 'live' || member?.state === 'suspect';
  }
}

/**
 * Stores on the disk itself whether it was emptied, as the agreed value says, and publishes that in the member's state. A disk that comes
 * back long after its record was removed therefore joins as an emptied disk, which takes no replica and no vote, until an operator
 * cancels the emptying.
 */
export function persistEmptiedState(
  kernel: Kernel,
  membership: MembershipTable,
  register: ConsensusRegister,
  store: DurableState,
): void {
  let emptied = store.get(EMPTIED_KEY) === 'yes';
  membership.updateOwnState({ emptied });
  const onValue = (value: FleetValue | undefined): void => {
    const state = register.disk === undefined ? undefined : value?.disks.get(register.disk)?.state;
    if (state === undefined || state === 'lost') return;
    if (emptied === (state === 'emptying')) return;
    emptied = !emptied;
    const newEmptied = emptied;
    store.db
      .commit(() => store.set(EMPTIED_KEY, newEmptied ? 'yes' : 'no'))
      .then(
        () => membership.updateOwnState({ emptied: newEmptied }),
        () => kernel.incrementCounter('forget.unsaved'),
      );
  };
  kernel.addSubscription(register.value$.subscribe(onValue));
}
