import { openDatabase, realClock } from '@harecross/kernel';
import { emptyReplica, lastIdx, makeFence, DurableState } from '@harecross/state';

/**
 * Writes to a node's database without pause, and prints each entry once it is committed: shard, index, promised fence. Lines that begin with
 * `!` report an error. disk.test.ts kills this process while it writes. Arguments: data directory, number of shards.
 */
const [directory, shardCount] = process.argv.slice(2) as [string, string];
const logger = {
  info: () => undefined,
  warn: (line: string) => {
    process.stdout.write(`! ${line}\n`);
  },
};
const db = openDatabase(
  directory,
  realClock,
  logger,
  (error) => {
    process.stdout.write(`! ${error.message}\n`);
    process.exit(3);
  },
  '127.0.0.1:1',
);
const state = new DurableState(db);
state.init();
const replicas = state.loadReplicas(0);
for (let s = 0; s < Number(shardCount); s++) {
  const replica = replicas.get(s) ?? emptyReplica(s);
  void (async () => {
    for (let n = 1; ; n++) {
      const idx = await db.commit(() => {
        const i = lastIdx(replica) + 1;
        if (n % 7 === 0) state.savePromise(replica, makeFence(1, i, 'writer~1'));
        state.appendEntry(replica, {
          idx: i,
          fence: replica.promised,
          topic: `t/${s}`,
          off: i,
          era: 1,
          sender: 's',
          seq: i,
          body: `${s}:${i}:`.padEnd(40 + ((i * 37) % 900), 'x'),
          at: i,
        });
        if (i % 50 === 0) state.trim(replica, i - 40, 0);
        return i;
      });
      process.stdout.write(`${s} ${idx} ${replica.promised}\n`);
    }
  })();
}
