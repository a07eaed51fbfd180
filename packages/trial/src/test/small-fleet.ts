import { sleep } from '@harecross/kernel';
import type { Frame } from '@harecross/schema';
import type { Json } from '../json.js';
import { Sim, type SimNode } from '../sim.js';

/** Three stores and two relays in virtual time, with one configuration in force. */
export interface Small {
  sim: Sim;
  stores: SimNode[];
  relays: SimNode[];
  /** A visit at a node; virtual time passes until it is answered. */
  ask(n: SimNode, method: string, body: unknown): Promise<{ status: number; body: Json }>;
  attach(
    n: SimNode,
    consumer: string,
    pingS?: number,
  ): Promise<{ conn: string; frames: Frame[]; close: () => void; ended: () => boolean }>;
  /** Lets virtual time pass. */
  pass(ms: number): Promise<void>;
  /** The node that owns a topic. */
  ownerOf(topic: string): SimNode;
}

export const FAMILIES = [
  { name: 'feeds', topics: ['feed/*'], urgency: 'routine' as const, patienceMs: 2_000, memoryS: 35 },
  { name: 'alarms', topics: ['alarm/*'], urgency: 'urgent' as const, patienceMs: 1_500, memoryS: 25 },
];

/** A promise's outcome; virtual time passes until it has one, 40 s at most. */
export async function settled<T>(sim: Sim, p: Promise<T>): Promise<T> {
  let kept = false;
  const q = p.finally(() => {
    kept = true;
  });
  q.catch(() => undefined);
  for (let i = 0; i < 4_000 && !kept; i++) await sim.run(sim.now + 10);
  return q;
}

export async function smallFleet(
  seed: number,
  x: { skews?: number[]; config?: unknown; log?: boolean; relayDisk?: boolean } = {},
): Promise<Small> {
  const sim = new Sim(seed, { log: x.log });
  const stores = [0, 1, 2].map((i) =>
    sim.add(`store${i + 1}`, { role: 'store', domain: 'abc'[i]!, disk: true, skewMs: x.skews?.[i] ?? 0 }),
  );
  const relays = [0, 1].map((i) =>
    sim.add(`relay${i + 1}`, {
      role: 'relay',
      domain: 'abc'[i]!,
      disk: x.relayDisk === true && i === 0,
      skewMs: x.skews?.[3 + i] ?? 0,
    }),
  );
  for (const n of sim.nodes.values()) {
    n.config.seeds = stores.map((s) => s.config.peer);
    void sim.start(n);
  }
  await sim.run(8_000);
  const until = <T>(p: Promise<T>): Promise<T> => settled(sim, p);
  const s: Small = {
    sim,
    stores,
    relays,
    ask: async (n, method, body) => {
      const r = await until(sim.clientTransport.visit(n.config.client, method, body, 20_000));
      return r ?? { status: 0, body: undefined };
    },
    attach: async (n, consumer, pingS = 2) => {
      const frames: Frame[] = [];
      let over = false;
      const close = sim.clientTransport.attach(
        n.config.client,
        { consumer, pingS },
        (f) => frames.push(f),
        () => {
          over = true;
        },
      );
      await sim.run(sim.now + 400);
      const first = frames[0];
      if (first?.t !== 'ATTACHED') throw new Error('not attached');
      return { conn: first.conn, frames, close, ended: () => over };
    },
    pass: async (ms) => {
      const p = sleep(sim.clock, ms);
      await sim.run(sim.now + ms);
      await p;
    },
    ownerOf: (topic) => {
      const o = stores.find((n) => n.up && n.kernel!.use('owner').owns(topic));
      if (!o) throw new Error(`nobody owns ${topic}`);
      return o;
    },
  };
  const r = await s.ask(relays[0]!, 'SubmitConfig', { changeId: 'first', config: x.config ?? { families: FAMILIES } });
  if (r.status !== 200) throw new Error(JSON.stringify(r.body));
  await s.pass(500);
  return s;
}
