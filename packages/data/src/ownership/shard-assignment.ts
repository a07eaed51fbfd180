/** Which disk should own each shard, by what this node knows of the members: all that see the same come to the same answer. */
import { assignOwners, type ConsensusRegister, type Member, type MembershipTable } from '@harecross/control';

/** Assigns shards to the disks of available members. */
export class ShardAssignment {
  constructor(
    private readonly membership: MembershipTable,
    private readonly register: ConsensusRegister,
  ) {}

  /**
   * The disk that should own each shard now. `without`: as if that disk were gone. `includeStarting`: also disks whose machines may be
   * about to serve: a fleet that comes back together shares its shards at once, rather than the first node up having them all.
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
    // Where the machines of all replicas call themselves unhealthy, one of them must do.
    const fallback = assignOwners(shards, (disk) => disk !== without && this.isUnhealthy(disk));
    for (const [shard, disk] of fallback) if (!owners.has(shard)) owners.set(shard, disk);
    return owners;
  }

  /** The node that has this disk, if it is available for ownership. */
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
