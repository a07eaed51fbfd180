import { sleep } from '@harecross/kernel';
import type { Frame } from '@harecross/schema';
import type { Json } from '../json.js';
import { Sim, type SimNode } from '../sim.js';

/** Three stores and two relays in virtual time, with a first configuration in force. */
export interface SmallFleet {
  sim: Sim;
  stores: SimNode[];
  relays: SimNode[];
  /** Sends a client request to a node and advances virtual time until it is answered. Status 0: no answer. */
  ask(node: SimNode, method: string, body: unknown): Promise<{ status: number; body: Json }>;
  attach(
    node: SimNode,
    consumer: string,
    pingS?: number,
  ): Promise<{ conn: string; frames: Frame[]; close: () => void; ended: () => boolean }>;
  /** Advances virtual time. */
  advance(ms: number): Promise<void>;
  /** The node that owns a topic. */
  ownerOf(topic: string): SimNode;
}

export const FAMILIES = [
  { name: 'feeds', topics: ['feed/*'], urgency: 'routine' as const, patienceMs: 2_000, memoryS: 35 },
  { name: 'alarms', topics: ['alarm/*'], urgency: 'urgent' as const, patienceMs: 1_500, memoryS: 25 },
];

/** Advances virtual time until the promise is settled, by 40 s at most, and returns the promise. */
export async function runUntilSettled<T>(sim: Sim, promise: Promise<T>): Promise<T> {
  let isSettled = false;
  const tracked = promise.finally(() => {
    isSettled = true;
  });
  tracked.catch(() => undefined);
  for (let i = 0; i < 4_000 && !isSettled; i++) await sim.run(sim.now + 10);
  return tracked;
}

export async function startSmallFleet(
  seed: number,
  options: { skews?: number[]; config?: unknown; log?: boolean; relayDisk?: boolean } = {},
): Promise<SmallFleet> {
  const sim = new Sim(seed, { log: options.log });
  const stores = [0, 1, 2].map((i) =>
    sim.add(`store${i + 1}`, { role: 'store', domain: 'abc'[i]!, disk: true, skewMs: options.skews?.[i] ?? 0 }),
  );
  const relays = [0, 1].map((i) =>
    sim.add(`relay${i + 1}`, {
      role: 'relay',
      domain: 'abc'[i]!,
      disk: options.relayDisk === true && i === 0,
      skewMs: options.skews?.[3 + i] ?? 0,
    }),
  );
  for (const node of sim.nodes.values()) {
    node.config.seeds = stores.map((store) => store.config.peer);
    void sim.start(node);
  }
  await sim.run(8_000);
  const awaitAnswer = <T>(promise: Promise<T>): Promise<T> => runUntilSettled(sim, promise);
  const fleet: SmallFleet = {
    sim,
    stores,
    relays,
    ask: async (node, method, body) => {
      const answer = await awaitAnswer(sim.clientTransport.visit(node.config.client, method, body, 20_000));
      return answer ?? { status: 0, body: undefined };
    },
    attach: async (node, consumer, pingS = 2) => {
      const frames: Frame[] = [];
      let hasEnded = false;
      const close = sim.clientTransport.attach(
        node.config.client,
        { consumer, pingS },
        (frame) => frames.push(frame),
        () => {
          hasEnded = true;
        },
      );
      await sim.run(sim.now + 400);
      const first = frames[0];
      if (first?.t !== 'ATTACHED') throw new Error('not attached');
      return { conn: first.conn, frames, close, ended: () => hasEnded };
    },
    advance: async (ms) => {
      const elapsed = sleep(sim.clock, ms);
      await sim.run(sim.now + ms);
      await elapsed;
    },
    ownerOf: (topic) => {
      const owner = stores.find((node) => node.up && node.kernel!.use('owner').owns(topic));
      if (!owner) throw new Error(`nobody owns ${topic}`);
      return owner;
    },
  };
  const answer = await fleet.ask(relays[0]!, 'SubmitConfig', {
    changeId: 'first',
    config: options.config ?? { families: FAMILIES },
  });
  if (answer.status !== 200) throw new Error(JSON.stringify(answer.body));
  await fleet.advance(500);
  return fleet;
}
