/** Scenarios in which links lose packets, break, or connections end. */
import { Consumer, Sender } from '../simulated-clients.js';
import { fleetConfigOf, type Scenario } from '../scenario.js';
import { any, EIGHT_DISKS, pause } from './common.js';

export const NETWORK_FAULTS: [string, Scenario][] = [
  [
    'loss',
    {
      opts: { loss: 0.05, delayMs: [5, 40] },
      faults: async (s) => {
        await pause(s, 15_000);
      },
    },
  ],
  [
    'resets',
    {
      faults: async (s) => {
        for (let i = 0; i < 10; i++) {
          s.sim.resetStreams(0.1);
          await pause(s, 500);
        }
        s.note('mass reset');
        s.sim.resetStreams(0.97);
        await pause(s, 6_000);
      },
    },
  ],
  [
    'cut',
    {
      faults: async (s) => {
        const n = any(s, [...s.stores, ...s.relays]);
        s.note(`cut off ${n.name}`);
        const both = s.random.next() < 0.5;
        for (const o of s.sim.nodes.values()) if (o !== n) s.sim.cut(n.name, o.name, both);
        await pause(s, 4_000 + 6_000 * s.random.next());
        s.sim.healAll();
        s.note('healed');
        await pause(s, 4_000);
      },
    },
  ],
  [
    'link-cut',
    {
      site: EIGHT_DISKS,
      faultPhaseMs: 30_000,
      faults: async (s) => {
        // Some links of one machine break: it keeps its majority of seats, but not that of every shard's copies.
        const n = any(s, s.stores);
        const far = s.disks
          .filter((x) => x !== n)
          .sort(() => s.random.next() - 0.5)
          .slice(0, 3);
        s.note(`${n.name} loses its links to ${far.map((x) => x.name).join(' ')}`);
        for (const o of far) s.sim.cut(n.name, o.name);
        await pause(s, 8_000);
        const seen = s.clientContext.journal.seen;
        const from = seen.length;
        await pause(s, 8_000);
        const a = seen.slice(from).filter((x) => x.k === 'pub.answer');
        const ok = a.filter((x) => x.k === 'pub.answer' && x.out === 'accepted').length;
        s.note(`accepted ${ok} of ${a.length} while the links were cut`);
        if (ok < a.length * 0.99)
          throw new Error(`only ${ok} of ${a.length} publishes were accepted while the links of ${n.name} were cut`);
        s.sim.healAll();
        await pause(s, 5_000);
      },
    },
  ],
  [
    'split',
    {
      faults: async (s) => {
        const side = new Set([...s.sim.nodes.values()].filter(() => s.random.next() < 0.4).map((n) => n.name));
        s.note(`split off ${[...side].join(' ')}`);
        for (const a of s.sim.nodes.keys())
          for (const b of s.sim.nodes.keys()) if (side.has(a) && !side.has(b)) s.sim.cut(a, b);
        await pause(s, 5_000);
        s.sim.healAll();
        await pause(s, 6_000);
      },
    },
  ],
  [
    'stale-owner',
    {
      faultPhaseMs: 22_000,
      faults: async (s) => {
        // An owner and a relay are cut off together, with publishes and listeners on both sides; when they come back the
        // owner does not know yet that its keys were taken.
        for (let i = 0; i < 2; i++) {
          const x = any(s, s.stores);
          const off = [x, ...s.relays.filter((r) => !r.config.data).slice(i, i + 2)];
          s.note(`cut off ${off.map((n) => n.name).join(' ')}`);
          for (const n of off) for (const o of s.sim.nodes.values()) if (!off.includes(o)) s.sim.cut(n.name, o.name);
          const more = Array.from(
            { length: 12 },
            (_, j) =>
              new Sender(
                s.clientContext,
                `more${i}-${j}`,
                any(s, s.site.domains),
                s.crowd.topics.filter((_, t) => t % 12 === j),
                80,
              ),
          );
          for (const m of more) m.start();
          await pause(s, 4_500);
          s.sim.healAll();
          await pause(s, 3_500);
          for (const m of more) m.stop();
        }
      },
    },
  ],
  [
    'link',
    {
      faultPhaseMs: 30_000,
      faults: async (s) => {
        // The links between one relay and two machines with disks break and nothing else: what goes that way must go round.
        const r = any(
          s,
          s.relays.filter((x) => !x.config.data),
        );
        const far = [...s.disks].sort(() => s.random.next() - 0.5).slice(0, 2);
        s.note(`the links of ${r.name} to ${far.map((x) => x.name).join(' and ')} break`);
        for (const o of far) s.sim.cut(r.name, o.name);
        const seen = s.clientContext.journal.seen;
        const from = seen.length;
        await pause(s, 16_000);
        const a = seen
          .slice(from)
          .filter(
            (x): x is Extract<typeof x, { k: 'pub.answer' }> => x.k === 'pub.answer' && x.node === r.config.client,
          );
        const ok = a.filter((x) => x.out === 'accepted').length;
        s.note(`accepted ${ok} of ${a.length} through ${r.name} meanwhile`);
        if (a.length < 15 || ok < a.length * 0.95)
          throw new Error(`only ${ok} of ${a.length} publishes through ${r.name} were accepted`);
        s.sim.healAll();
        await pause(s, 5_000);
      },
    },
  ],
  [
    'half-open',
    {
      faultPhaseMs: 30_000,
      faults: async (s) => {
        // Streams die without a word to either side, while check-ins on other connections go on: nobody may miss a word.
        for (let i = 0; i < 3; i++) {
          const deaf = s.crowd.consumers.filter(() => s.random.next() < 0.4);
          s.note(`the streams of ${deaf.length} consumers are half-open`);
          for (const c of deaf) s.sim.halfOpenConsumers.add(c.name);
          await pause(s, 8_000);
        }
        const noticed = s.clientContext.journal.seen.filter((x) => x.k === 'conn.end' && x.why === 'dead stream').length;
        s.note(`${noticed} were noticed`);
        if (noticed < 15) throw new Error(`only ${noticed} dead streams were noticed`);
      },
    },
  ],
  [
    'thin-links',
    {
      faultPhaseMs: 25_000,
      faults: async (s) => {
        // Two consumers whose links can't keep up with bulky messages: they are retired, nobody else is held up.
        await s.crowd.operator.submit(
          'bulk',
          fleetConfigOf(s.site, [
            {
              name: 'bulk',
              topics: ['bulk/*'],
              urgency: 'routine',
              patienceMs: 3_000,
              memoryS: 30,
              limits: { bodyBytes: 200_000 },
            },
          ]),
          true,
        );
        s.sim.linkBytesPerS.set('thin0', 40_000);
        s.sim.linkBytesPerS.set('thin1', 4_000_000);
        const cs = ['thin0', 'thin1', 'wide0'].map(
          (n) => new Consumer(s.clientContext, n, any(s, s.site.domains), ['bulk/0', 'r/0', 'u/0']),
        );
        for (const c of cs) c.start();
        const snd = [
          new Sender(s.clientContext, 'bulky', s.site.domains[0]!, ['bulk/0'], 400, { bodyBytes: 100_000 }),
          new Sender(s.clientContext, 'chatty', s.site.domains[0]!, ['bulk/0'], 12, { bodyBytes: 20_000 }),
        ];
        await pause(s, 1_500);
        for (const x of snd) x.start();
        await pause(s, 12_000);
        for (const x of snd) x.stop();
        s.sim.linkBytesPerS.clear();
        for (const c of cs) c.disconnect();
        await pause(s, 5_000);
        const retired = s.relays.reduce((n, r) => n + (r.kernel?.counters.get('conn.closed.saturated') ?? 0), 0);
        if (!retired) throw new Error('no conn was saturated: the fault was not caused');
        if (
          s.clientContext.journal.seen.some(
            (x) => x.k === 'conn.end' && x.consumer !== 'thin0' && (x.why === 'saturated' || x.why === 'unknown_conn'),
          )
        )
          throw new Error('a conn with a good link was retired');
      },
    },
  ],
];
