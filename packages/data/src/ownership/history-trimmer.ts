/** Retention of a shard's history: messages are kept as long as their family requires and as long as a publish may be repeated. */
import type { ConsensusRegister } from '@harecross/control';
import { SHARD, type Kernel } from '@harecross/kernel';
import { familyOf, type FleetConfig } from '@harecross/schema';
import { foldIntoBase, type Entry } from '@harecross/state';
import type { ShardState } from './shard-state.js';
import type { ShardTable } from './shard-table.js';

/** Trims the history of owned shards. The other replicas learn of it with the next append or heartbeat. */
export class HistoryTrimmer {
  constructor(
    private readonly kernel: Kernel,
    private readonly register: ConsensusRegister,
    private readonly shards: ShardTable,
  ) {}

  /** Trims all owned shards; does nothing without a read lease, because the configuration may be outdated then. */
  trim(): void {
    if (!this.register.hasReadLease()) return;
    const { config } = this.register.value!;
    const now = this.kernel.host.clock.now();
    for (const shard of this.shards.all()) if (shard.phase === 'owner') trimShard(shard, config, now);
  }
}

function trimShard(shard: ShardState, config: FleetConfig, now: number): void {
  const until = lastTrimmable(shard, config, now);
  if (until <= shard.trimIndex) return;
  shard.trimIndex = until;
  for (const entry of shard.entries.splice(0, until - shard.base.idx)) {
    foldIntoBase(shard.base, entry);
    shard.recordTrimmed(entry);
  }
  for (const [sender, last] of shard.base.senders)
    if (now - last.at > SHARD.dedupeKeepMs) shard.base.senders.delete(sender);
}

/** The index up to which all entries are committed and past their retention. */
function lastTrimmable(shard: ShardState, config: FleetConfig, now: number): number {
  let until = shard.trimIndex;
  for (const entry of shard.entries) {
    if (entry.idx > shard.commitIndex) break;
    // A barrier stays while it is the last committed entry, a message while it may be read or repeated.
    const mustStay = entry.topic ? now - entry.at <= keepMs(entry, config) : entry.idx === shard.commitIndex;
    if (mustStay) break;
    until = entry.idx;
  }
  return until;
}

/** The retention of a message (ms). A message that can no longer be read is still kept while its sequence number may be repeated. */
function keepMs(entry: Entry, config: FleetConfig): number {
  const family = familyOf(config, entry.topic);
  const memoryMs = family ? family.memoryS * 1000 * SHARD.memorySlack + SHARD.memorySlackMs : 0;
  return Math.max(SHARD.resendHistoryMs, memoryMs);
}
