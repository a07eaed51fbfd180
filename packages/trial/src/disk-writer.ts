import { openDatabase, realClock } from '@harecross/kernel';
import { lastIdx, makeFence, NO_FENCE, DurableState, type Replica } from '@harecross/state';

/**
 * Writes to a node's database as fast as it takes it, and says each thing once it lasts. Killed in mid-write by
 * disk.test.ts.
 */
const [folder, shards] = process.argv.slice(2) as [string, string];
const quiet = {
  info: () => undefined,
  warn: (l: string) => {
    process.stdout.write(`! ${l}\n`);
  },
};
const db = openDatabase(
  folder,
  realClock,
  quiet,
  (e) => {
    process.stdout.write(`! ${e.message}\n`);
    process.exit(3);
  },
  '127.0.0.1:1',
);
const st = new DurableState(db);
st.init();
const copies = st.loadReplicas(0);
for (let s = 0; s < Number(shards); s++) {
  const c: Replica = copies.get(s) ?? {
    shard: s,
    promised: NO_FENCE,
    base: { idx: 0, fence: NO_FENCE, topics: new Map(), senders: new Map() },
    entries: [],
  };
  void (async () => {
    for (let n = 1; ; n++) {
      const idx = await db.commit(() => {
        const i = lastIdx(c) + 1;
        if (n % 7 === 0) st.savePromise(c, makeFence(1, i, 'writer~1'));
        st.appendEntry(c, {
          idx: i,
          fence: c.promised,
          topic: `t/${s}`,
          off: i,
          era: 1,
          sender: 's',
          seq: i,
          body: `${s}:${i}:`.padEnd(40 + ((i * 37) % 900), 'x'),
          at: i,
        });
        if (i % 50 === 0) st.trim(c, i - 40, 0);
        return i;
      });
      process.stdout.write(`${s} ${idx} ${c.promised}\n`);
    }
  })();
}
