import { AcceptedConnection, AcceptedConnections, PeerLink, CONTROL_ID } from '@harecross/kernel';
import test from 'ava';
import { CALLS_PLAN, simulateCalls, type CallsPlan } from '../model-calls.js';

const SEEDS = 300;

type Method = (this: Internals, ...args: never[]) => unknown;
/** What a planted fault reaches of the transport's insides. */
interface Internals {
  nextId: number;
  lastId: number;
  helloAnswered: boolean;
  peerInstance: string | undefined;
  sent: Map<number, Call>;
  unsent: Call[];
  socket: unknown;
  flush(): void;
  settle(call: Call, outcome: string): void;
}
interface Call {
  id: number;
  frame: string;
}

interface Plant {
  what: string;
  /** What the broken rule says. */
  finds: RegExp;
  patches: [proto: object, name: string, patch: (old: Method) => Method][];
}

/** Puts a fault into the code itself, plays seeds until a rule is broken, and puts the code back. */
async function planted(plant: Plant, plan: CallsPlan = CALLS_PLAN): Promise<string[]> {
  const undo: (() => void)[] = [];
  for (const [proto, name, patch] of plant.patches) {
    const methods = proto as Record<string, Method>;
    const old = methods[name];
    if (typeof old !== 'function') throw new Error(`no method ${name}`);
    methods[name] = patch(old);
    undo.push(() => {
      methods[name] = old;
    });
  }
  try {
    for (let seed = 1; seed <= SEEDS; seed++) {
      const { violations: bad } = await simulateCalls(seed, plan);
      if (bad.length) return bad;
    }
    return [];
  } finally {
    for (const restore of undo.reverse()) restore();
  }
}

const call = (method: Method, self: Internals, args: never[]): unknown => method.apply(self, args);

const plants: Plant[] = [
  {
    what: 'numbers of calls that were given up are used again',
    finds: /got the answer of call/,
    patches: [
      [
        PeerLink.prototype,
        'onTimeout',
        (old) =>
          function (...args) {
            const { id } = args[0] as unknown as Call;
            const was = this.sent.has(id);
            call(old, this, args);
            if (was && id === this.nextId - 1) this.nextId = id;
          },
      ],
      [
        AcceptedConnection.prototype,
        'onLine',
        (old) =>
          function (...args) {
            this.lastId = CONTROL_ID;
            return call(old, this, args);
          },
      ],
    ],
  },
  {
    what: 'an answer that nobody waits for goes to the call that has waited longest',
    finds: /got the answer of call/,
    patches: [
      [
        PeerLink.prototype,
        'onLine',
        (old) =>
          function (...args) {
            const line = String(args[0]);
            const id = Number(line.slice(0, line.indexOf(' ')));
            const [oldest] = this.sent.values();
            if (id === CONTROL_ID || this.sent.has(id) || !oldest) return call(old, this, args);
            this.sent.delete(oldest.id);
            this.settle(oldest, line.slice(line.indexOf(' ') + 1));
            return true;
          },
      ],
    ],
  },
  {
    what: 'calls under way on a connection that is lost are sent again on the next',
    finds: /was run twice/,
    patches: [
      [
        PeerLink.prototype,
        'flush',
        (old) =>
          function () {
            const frames = new Map(this.unsent.map((c) => [c, c.frame]));
            call(old, this, []);
            for (const [c, frame] of frames) c.frame = frame;
          },
      ],
      [
        PeerLink.prototype,
        'onDisconnect',
        (old) =>
          function (...args) {
            if (this.socket === args[0]) {
              this.unsent.unshift(...this.sent.values());
              this.sent.clear();
            }
            return call(old, this, args);
          },
      ],
    ],
  },
  {
    what: 'a call goes to whatever process is at the address now',
    finds: /was meant for .* and run by/,
    patches: [
      [
        PeerLink.prototype,
        'open',
        (old) =>
          function (...args) {
            const out = call(old, this, args);
            this.helloAnswered = true;
            return out;
          },
      ],
    ],
  },
  {
    what: 'an earlier connection of the same caller is served on beside the later one',
    finds: /a later one had replaced/,
    patches: [[AcceptedConnections.prototype, 'closeSuperseded', () => () => undefined]],
  },
  {
    what: 'a call that was written is said never to have been sent',
    finds: /unreachable/,
    patches: [
      [
        PeerLink.prototype,
        'settle',
        (old) =>
          function (...args) {
            const how = args[1] as unknown as string | { tag: string };
            const told = typeof how === 'string' || how.tag !== 'cut' ? how : { ...how, tag: 'unreachable' };
            return call(old, this, [args[0], told] as unknown as never[]);
          },
      ],
    ],
  },
];

test.serial(
  'each call ends once, gets its own answer, and is run once at most by the process it was meant for',
  async (t) => {
    let events = 0;
    const ended = new Map<string, number>();
    for (let seed = 1; seed <= SEEDS; seed++) {
      const r = await simulateCalls(seed);
      t.deepEqual(r.violations, [], `seed ${seed}`);
      events += r.events;
      for (const [how, n] of r.outcomes) ended.set(how, (ended.get(how) ?? 0) + n);
    }
    t.log(`${events} events; ${JSON.stringify(Object.fromEntries(ended))}`);
    // A run in which nothing goes wrong shows nothing.
    for (const how of ['answered', 'cut', 'timeout', 'unreachable']) t.true((ended.get(how) ?? 0) > 50, how);
  },
);

test.serial('the same seed gives the same run', async (t) => {
  t.deepEqual(await simulateCalls(11), await simulateCalls(11));
});

for (const plant of plants)
  test.serial(`found: ${plant.what}`, async (t) => {
    const bad = await planted(plant);
    t.true(
      bad.some((b) => plant.finds.test(b)),
      bad.join('; ') || 'nothing was found',
    );
  });
