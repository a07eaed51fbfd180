/** Retention across restarts: what a store keeps is bounded by the age of messages, however often its process starts. */
import test from 'ava';
import type { SimNode } from '../sim.js';
import { startControlFleet, type ControlFleet } from './control-fleet.js';

/** How long a message of the family `feed/*` is readable (ms). */
const MEMORY_MS = 35_000;
/** How long it is kept at most: 1.5 times as long, 15 s, and the interval at which replicas are trimmed, twice. */
const KEPT_MS = 1.5 * MEMORY_MS + 15_000 + 20_000;
const RESTART_EVERY_MS = 15_000;
const DOWN_MS = 750;

const topics = Array.from({ length: 8 }, (_, i) => `feed/${i}`);

/** Bodies that contain this text, on all stores' disks together. */
function countOnDisk(fleet: ControlFleet, text: string): number {
  const counts = fleet.stores.map((store) =>
    store.sql!.prepare('select count(*) from entry where body like ?').pluck().get(`${text}%`),
  );
  return counts.reduce<number>((sum, count) => sum + Number(count), 0);
}

async function publish(fleet: ControlFleet, seq: number, text: string): Promise<void> {
  for (const topic of topics) {
    const body = { sender: 'desk', topic, seq, body: `${text} ${topic}` };
    const answer = await fleet.ask(fleet.relays[0]!, 'Publish', body);
    if (!answer.body?.accepted) throw new Error(JSON.stringify(answer.body));
  }
}

async function restartAll(fleet: ControlFleet, nodes: SimNode[]): Promise<void> {
  for (const node of nodes) fleet.sim.kill(node);
  await fleet.advance(DOWN_MS);
  for (const node of nodes) void fleet.sim.start(node);
}

// Guards against restarts that make messages young again: with restarts in series nothing would be trimmed, and the disk would fill.
test('stores that are killed again and again still trim a message by its age, and keep a younger one', async (t) => {
  for (const files of [false, true]) {
    const fleet = await startControlFleet(101, { files });
    await publish(fleet, 1, 'first');
    t.is(countOnDisk(fleet, 'first'), topics.length * fleet.stores.length);
    const publishedAt = fleet.sim.now;
    let seq = 1;
    while (fleet.sim.now - publishedAt < KEPT_MS) {
      await restartAll(fleet, fleet.stores);
      await fleet.advance(RESTART_EVERY_MS);
      seq++;
      await publish(fleet, seq, `later ${seq}.`);
      if (fleet.sim.now - publishedAt < MEMORY_MS) t.not(countOnDisk(fleet, 'first'), 0, 'kept while it is readable');
    }
    t.is(countOnDisk(fleet, 'first'), 0, 'trimmed');
    t.is(countOnDisk(fleet, `later ${seq}.`), topics.length * fleet.stores.length);
    fleet.sim.close();
  }
});
