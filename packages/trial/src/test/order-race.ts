import { REGISTER, sleep } from '@harecross/kernel';
import type { RegisterCall } from '../linearizable.js';
import { seededRandom, type SimNode } from '../sim.js';
import { FAMILIES, runUntilSettled, startSmallFleet, type SmallFleet } from './small-fleet.js';

/** An operator goes elsewhere after a second of silence. */
const PATIENCE_MS = 1_000;
/** Of the answers, so many never reach the operator. */
const LOST_SHARE = 0.3;
const CALLS_EACH = 24;
/** No trouble lasts longer than this. */
const TROUBLE_MS = 4_000;
/** An order may come into force until its node gives it up; a try of then ends, and what hangs at a cut or frozen machine is found. */
const EXPIRES_MS = REGISTER.submitMs + REGISTER.submitAttemptMs + TROUBLE_MS + 2_000;

/** What was seen of a race, for the check. */
export interface Race {
  calls: RegisterCall[];
  /** Answers that no operator should get, with the order that got it. */
  wrong: string[];
  lost: number;
  conflicts: number;
}

interface Order {
  revision: number;
  content: string;
}

const bodyOf = ({ revision, content }: Order) => ({
  revision,
  config: { families: [...FAMILIES, { ...FAMILIES[0]!, name: content, topics: [`${content}/*`] }] },
  document: { content },
});

/**
 * Several operators at random nodes of a small fleet: new orders under numbers that they share, orders of before sent again, reads;
 * answers are lost, and machines are killed, cut off, frozen, started anew, and lose their disks, one at a time.
 */
export async function race(seed: number, operators: number): Promise<Race> {
  const s = await startSmallFleet(seed);
  const random = seededRandom(seed + 77_777);
  const nodes = [...s.stores, ...s.relays];
  const any = <T>(list: readonly T[]): T => list[Math.floor(random.next() * list.length)]!;
  const seen: Race = { calls: [], wrong: [], lost: 0, conflicts: 0 };
  const orders: Order[] = [];
  let highest = 0;

  const send = async (order: Order): Promise<void> => {
    const { sim } = s;
    const invoked = sim.now;
    const got = await sim.clientTransport.visit(any(nodes).config.client, 'SubmitConfig', bodyOf(order), PATIENCE_MS);
    const base = { kind: 'submit' as const, invoked, ...order };
    if (got && random.next() < LOST_SHARE) seen.lost++;
    else if (got?.status === 200) {
      const { version, revision, outcome } = got.body;
      // Far fewer come into force than outcomes are kept of.
      if (outcome === 'forgotten') seen.wrong.push(`${order.revision} ${order.content}: forgotten`);
      seen.calls.push({ ...base, answer: { outcome, returned: sim.now, version, revision } });
      return;
    } else if (got?.status === 409) {
      seen.conflicts++;
      seen.calls.push({ ...base, answer: { outcome: 'conflict', returned: sim.now } });
      return;
    } else if (got && got.status < 500) {
      seen.wrong.push(`${order.revision} ${order.content}: ${got.status} ${JSON.stringify(got.body)}`);
    }
    seen.calls.push({ ...base, expires: invoked + EXPIRES_MS });
  };
  const read = async (node: SimNode, patienceMs: number): Promise<boolean> => {
    const invoked = s.sim.now;
    const got = await s.sim.clientTransport.visit(node.config.client, 'ReadConfig', {}, patienceMs);
    if (got?.status !== 200) return false;
    const { version, revision, document } = got.body;
    const content = document?.content;
    seen.calls.push({ kind: 'read', invoked, returned: s.sim.now, version, revision, content });
    return true;
  };
  const operate = async (name: string): Promise<void> => {
    for (let i = 0; i < CALLS_EACH; i++) {
      const what = random.next();
      if (what < 0.45 || orders.length === 0) {
        // Half of the new ones are under a number that another may have taken.
        const revision = random.next() < 0.5 ? Math.max(1, highest) : highest + 1;
        highest = Math.max(highest, revision);
        const order = { revision, content: `${name}${i}` };
        orders.push(order);
        await send(order);
      } else if (what < 0.8) await send(random.next() < 0.6 ? any(orders.slice(-4)) : any(orders));
      else await read(any(nodes), PATIENCE_MS);
      await sleep(s.sim.clock, 900 * random.next());
    }
  };
  const racing = Promise.all(Array.from({ length: operators }, (_, i) => operate('abcd'[i]!)));
  let over = false;
  const trouble = async (): Promise<void> => {
    while (!over) {
      await sleep(s.sim.clock, 2_000 * random.next());
      await strike(s, any(nodes), random.next(), random.next());
    }
  };
  const troubled = trouble();
  await passUntil(s, racing);
  over = true;
  await passUntil(s, troubled);
  await s.advance(EXPIRES_MS);
  for (const node of nodes)
    if (!(await runUntilSettled(s.sim, read(node, 9_000)))) seen.wrong.push(`${node.name}: no read`);
  seen.wrong.push(...s.sim.errors);
  s.sim.close();
  return seen;
}

async function passUntil(s: SmallFleet, done: Promise<unknown>): Promise<void> {
  let over = false;
  void done.finally(() => {
    over = true;
  });
  while (!over) await s.advance(200);
  await done;
}

/** One trouble of one machine, and its end. */
async function strike(s: SmallFleet, node: SimNode, kind: number, length: number): Promise<void> {
  const { sim } = s;
  const pause = (ms: number): Promise<void> => sleep(sim.clock, ms);
  if (kind < 0.3) {
    sim.kill(node);
    await pause(200 + 1_500 * length);
    void sim.start(node);
  } else if (kind < 0.6) {
    for (const other of sim.nodes.values()) if (other !== node) sim.cut(node.name, other.name, kind < 0.5);
    await pause(TROUBLE_MS * length);
    sim.healAll();
  } else if (kind < 0.8) {
    sim.freeze(node);
    await pause(TROUBLE_MS * length);
    sim.thaw(node);
  } else if (kind < 0.9) {
    sim.loss = 0.2;
    await pause(TROUBLE_MS * length);
    sim.loss = 0;
  } else {
    sim.loseDisk(node);
    await pause(500);
    void sim.start(node);
    // Until its seat is on the new disk.
    await pause(8_000);
  }
}
