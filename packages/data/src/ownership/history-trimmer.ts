/** Retention of a shard's history: messages are kept as long as their family requires and as long as a publish may be repeated. */
import type { ConsensusRegister } from '@harecross/control';
import { SHARD, type Kernel } from '@harecross/kernel';
import { familyOf, type FleetConfig } from '@harecross/schema';
import type { HistoryReader } from '@harecross/state';
import type { ShardState } from './shard-state.js';
import type { ShardTable } from './shard-table.js';

/** Decides up to where the history of owned shards is trimmed. The replicas, also this node's own, do it with an append or heartbeat. */
export class HistoryTrimmer {
  constructor(
    private readonly kernel: Kernel,
    private readonly register: ConsensusRegister,
    private readonly shards: ShardTable,
    private readonly reader: HistoryReader,
  ) {}

  /** Moves the trim index of all owned shards; does nothing without a read lease, because the configuration may be outdated then. */
  trim(): void {
    if (!this.register.hasReadLease()) return;
    const { config } = this.register.value!;
    const now = this.kernel.host.clock.now();
    for (const shard of this.shards.all())
      if (shard.phase === 'owner' && shard.isReplicaIntact())
        shard.trimIndex = lastTrimmable(shard, this.reader, config, now);
  }
}

/** The index up to which all entries are committed, on this node's disk and past their retention. */
function lastTrimmable(shard: ShardState, reader: HistoryReader, config: FleetConfig, now: number): number {
  let until = shard.trimIndex;
  const last = Math.min(shard.commitIndex, shard.replica.last);
  for (const row of reader.retentionRows(shard.id, until, last)) {
    // A barrier stays while it is the last committed entry, a message while it may be read or repeated.
    const mustStay = row.topic ? now - row.at <= keepMs(row.topic, config) : row.idx === shard.commitIndex;
    if (mustStay) break;
    until = row.idx;
  }
  return until;
}

/** The retention of a message (ms). A message that can no longer be read is still kept while its sequence number may be repeated. */
function keepMs(topic: string, config: FleetConfig): number {
  const family = familyOf(config, topic);
  const memoryMs = family ? family.memoryS * 1000 * SHARD.memorySlack + SHARD.memorySlackMs : 0;
  return Math.max(SHARD.resendHistoryMs, memoryMs);
}
