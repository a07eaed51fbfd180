/** Stores as real processes with a small heap keep more history than it could hold. */
import test from 'ava';
import { StoreHistory } from '../store-history.js';

/** The heap of a store (MB): what its program needs and some more. */
const NODE_OPTIONS = ['--max-old-space-size=48', '--max-semi-space-size=4'];

// Guards against history in the heap of a store, and against messages between stores that carry a whole history: beside a lost disk, and
// after a restart of all, stores ended with "heap out of memory", again and again.
for (const { bodyBytes, topics, keptMB, isPublished } of [
  { bodyBytes: 16 * 1024, topics: 1, keptMB: 60, isPublished: true },
  { bodyBytes: 20, topics: 500, keptMB: 20, isPublished: false },
])
  test.serial(
    `bodies of ${bodyBytes} characters in ${topics} topics: ${keptMB} MB kept fit a heap of 48 MB`,
    async (t) => {
      t.timeout(300_000);
      const history = await StoreHistory.start({ bodyBytes, topics, nodeOptions: NODE_OPTIONS });
      try {
        await (isPublished ? history.fillTo(keptMB) : history.writeTo(keptMB));
        const figures = await history.measure();
        t.log(JSON.stringify(figures));
        t.is(history.outOfMemory(), 0);
        t.is(history.crashes(), 0);
        t.deepEqual(await history.lostMessages(20), []);
      } finally {
        await history.close();
      }
    },
  );
