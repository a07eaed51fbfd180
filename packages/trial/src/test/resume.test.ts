import { sleep } from '@harecross/kernel';
import type { Frame } from '@harecross/schema';
import test from 'ava';
import type { SimNode } from '../sim.js';
import { startControlFleet, type ControlFleet } from './control-fleet.js';

const topics = Array.from({ length: 60 }, (_, i) => `feed/${i}`);

/** A consumer that takes up a saved place, and comes again until it has it, at whatever relay lets it in. */
function resume(f: ControlFleet, name: string, topic: string, cursor: number): Set<number> {
  const { sim } = f;
  const offsets = new Set<number>();
  const come = async (): Promise<void> => {
    const relay = f.relays[Math.floor(sim.random.next() * f.relays.length)]!.config.client;
    let over = false;
    const again = (): void => {
      if (over) return;
      over = true;
      void sleep(sim.clock, 100 + 200 * sim.random.next()).then(come);
    };
    const subscribe = async (conn: string): Promise<void> => {
      while (!over) {
        const r = await sim.clientTransport.visit(relay, 'Subscribe', { conn, topic, cursor }, 2_000);
        if (r?.status === 200) break;
        await sleep(sim.clock, 300);
      }
      while (!over) {
        await sleep(sim.clock, 1_500);
        void sim.clientTransport.visit(relay, 'CheckIn', { conn }, 1_000);
      }
    };
    const close = sim.clientTransport.attach(
      relay,
      { consumer: name, pingS: 2 },
      (x: Frame) => {
        if (x.t === 'ATTACHED') void subscribe(x.conn);
        if (x.t === 'DELIVER') offsets.add(x.offset);
        if (x.t === 'GOAWAY') {
          close();
          again();
        }
      },
      again,
    );
  };
  void come();
  return offsets;
}

test('every process is killed; places saved before are taken up at once, and all that was accepted arrives within 4 s', async (t) => {
  for (const seed of [102, 104, 105, 110]) {
    const f = await startControlFleet(seed, { stores: 4, relays: 8, controls: 4 });
    const { sim } = f;
    const { random } = sim;
    const accepted = new Map(topics.map((x) => [x, [] as number[]]));
    let n = 0;
    const say = (topic: string): void => {
      const relay = f.relays[Math.floor(random.next() * f.relays.length)]!;
      void sim.clientTransport
        .visit(relay.config.client, 'Publish', { sender: `desk${++n}`, topic, seq: 1, body: `message ${n}` }, 2_000)
        .then((r) => {
          if (r?.body.accepted) accepted.get(topic)!.push(r.body.accepted.offset);
        });
    };
    for (let i = 0; i < 300; i++) {
      say(topics[i % 60]!);
      await f.advance(20);
    }
    const one = f.stores[seed % 4]!;
    sim.kill(one);
    await f.advance(500);
    void sim.start(one);
    for (let i = 0; i < 300; i++) {
      say(topics[i % 60]!);
      await f.advance(20);
    }
    const all = [...sim.nodes.values()];
    for (const x of all) sim.kill(x);
    await f.advance(500);
    const back = (x: SimNode): void => void sleep(sim.clock, 200 + 700 * random.next()).then(() => sim.start(x));
    all.forEach(back);
    const from = sim.lines.length;
    const late = topics.map((topic, i) => {
      const offsets = accepted.get(topic)!.sort((a, b) => a - b);
      const cursor = offsets[Math.floor(offsets.length / 2) - 1] ?? 0;
      return { topic, owed: offsets.filter((o) => o > cursor), got: resume(f, `late${i}`, topic, cursor) };
    });
    await f.advance(4_000);
    t.deepEqual(
      late.filter((x) => x.owed.some((o) => !x.got.has(o))).map((x) => x.topic),
      [],
      `seed ${seed}`,
    );
    const takes = sim.lines.slice(from).filter((l) => l.includes(' owner of shard') && !l.includes('no longer')).length;
    t.log(`seed ${seed}: ${takes} keys taken for 32 shards`);
    t.true(takes < 64, `seed ${seed}: ${takes} keys were taken for 32 shards`);
    f.sim.close();
  }
});
