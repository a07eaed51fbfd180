/** Assignment of shards to disks, computed from the membership that this node sees; nodes with the same view compute the same assignment. */
import { assignOwners, type ConsensusRegister, type Member, type MembershipTable } from '@harecross/control';

/** Assigns shards to the disks of available members. */
export class ShardAssignment {
  constructor(
    private readonly membership: MembershipTable,
    private readonly register: ConsensusRegister,
  ) {}

  /**
   * The disk that should own each shard now. `without`: a disk to exclude. `includeStarting`: also disks of nodes that may be starting, so
   * that nodes which restart together divide the shards at once instead of the first one taking all.
   */
  owners({ without, includeStarting = false }: { without?: string; includeStarting?: boolean } = {}): Map<
    number,
    string
  > {
    const { shards } = this.register.value!;
    const isCandidate = (disk: string): boolean =>
      disk !== without && (this.availablePeer(disk) !== undefined || (includeStarting && this.isStarting(disk)));
    const owners = assignOwners(shards, isCandidate);
    if (owners.size === shards.size) return owners;
    // Where no replica's node is available, assign the shard to a live node that reports itself unhealthy.
    const fallback = assignOwners(shards, (disk) => disk !== without && this.isUnhealthy(disk));
    for (const [shard, disk] of fallback) if (!owners.has(shard)) owners.set(shard, disk);
    return owners;
  }

  /** The node with this disk, if the node is available and the disk active. */
  availablePeer(disk: string): string | undefined {
    const member = this.activeMember(disk);
    return member && this.membership.isAvailable(member.peer) ? member.peer : undefined;
  }

  private isUnhealthy(disk: string): boolean {
    const member = this.activeMember(disk);
    return member?.state === 'live' && member.condition === 'ill';
  }

  private isStarting(disk: string): boolean {
    if (!this.isActive(disk)) return false;
    const member = this.membership.memberOfDisk(disk);
    return !member || (member.state === 'live' && member.condition === 'joining');
  }

  private activeMember(disk: string): Member | undefined {
    return this.isActive(disk) ? this.membership.memberOfDisk(disk) : undefined;
  }

  private isActive(disk: string): boolean {
    return this.register.value?.disks.get(disk)?.state === 'active';
  }
}
