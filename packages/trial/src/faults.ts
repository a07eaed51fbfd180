import { C, sleep } from '@harecross/kernel';
import type { FleetConfig } from '@harecross/schema';
import { Consumer, Marker, Operator, Pipeliner, Sender } from './actors.js';
import { configOf, SMALL, type Scenario, type Site, type Stage } from './scenario.js';

const SIX_DISKS: Site = { ...SMALL, name: 'six-disks', relayDisks: 3 };
const EIGHT_DISKS: Site = { ...SMALL, name: 'eight-disks', stores: 4, relayDisks: 4 };
/** Topics with 0, 1, 5 and more than 50 listeners. */
const CROWDED: Site = { ...SMALL, name: 'crowded', consumers: 60 };
const any = <T>(s: Stage, xs: T[]): T => xs[Math.floor(s.rnd.next() * xs.length)]!;
const pause = (s: Stage, ms: number): Promise<void> => sleep(s.sim.clock, ms);

/** Every fault of the brief, by name. */
export const SCENARIOS = new Map<string, Scenario>([
  [
    'calm',
    {
      faults: async (s) => {
        await pause(s, 10_000);
      },
    },
  ],
  [
    'kill-relay',
    {
      faults: async (s) => {
        for (let i = 0; i < 3; i++) {
          const n = any(s, s.relays);
          s.note(`kill ${n.name}`);
          s.sim.kill(n);
          await pause(s, 3_000);
          await s.sim.start(n);
          await pause(s, 2_000);
        }
      },
    },
  ],
  [
    'kill-store',
    {
      faults: async (s) => {
        for (let i = 0; i < 3; i++) {
          const n = any(s, s.stores);
          s.note(`kill ${n.name}`);
          s.sim.kill(n);
          await pause(s, 1_000 + 5_000 * s.rnd.next());
          await s.sim.start(n);
          await pause(s, 3_000);
        }
      },
    },
  ],
  [
    'rolling',
    {
      forMs: 60_000,
      faults: async (s) => {
        for (const n of [...s.stores, ...s.relays]) {
          s.note(`stop ${n.name}`);
          if (!(await s.sim.stop(n))) s.note(`${n.name} had to be killed`);
          await pause(s, 1_500);
          await s.sim.start(n);
          await pause(s, 3_000);
        }
      },
    },
  ],
  [
    'freeze',
    {
      faults: async (s) => {
        for (let i = 0; i < 3; i++) {
          const n = any(s, [...s.stores, ...s.relays]);
          s.note(`freeze ${n.name}`);
          s.sim.freeze(n);
          await pause(s, 1_000 + 6_000 * s.rnd.next());
          s.sim.thaw(n);
          s.note(`thaw ${n.name}`);
          await pause(s, 2_000);
        }
      },
    },
  ],
  [
    'slow',
    {
      faults: async (s) => {
        const n = any(s, s.disks);
        n.slowMs = 150;
        n.diskMs = 120;
        await pause(s, 8_000);
        n.slowMs = 0;
        n.diskMs = 2;
        await pause(s, 3_000);
      },
    },
  ],
  [
    'lost-disk',
    {
      forMs: 70_000,
      faults: async (s) => {
        const n = any(s, s.stores);
        s.note(`disk of ${n.name} dies`);
        s.sim.loseDisk(n);
        if (s.rnd.next() < 0.5) {
          await pause(s, 4_000);
          await s.sim.start(n);
          s.note(`${n.name} is back, empty`);
        }
        await pause(s, 50_000);
        const m = any(
          s,
          s.disks.filter((x) => x !== n),
        );
        s.note(`kill ${m.name}`);
        s.sim.kill(m);
        await pause(s, 4_000);
        await s.sim.start(m);
      },
    },
  ],
  [
    'power',
    {
      faults: async (s) => {
        const n = any(s, s.stores);
        const m = any(
          s,
          s.disks.filter((x) => x !== n),
        );
        s.note(`power of ${n.name} and ${m.name} fails`);
        s.sim.kill(n);
        s.sim.kill(m);
        await pause(s, 2_000);
        await s.sim.start(n);
        await pause(s, 3_000);
        await s.sim.start(m);
      },
    },
  ],
  [
    'blackout',
    {
      faults: async (s) => {
        s.note('all power fails');
        for (const n of s.sim.nodes.values()) s.sim.kill(n);
        s.world.journal.add({ k: 'closing' });
        await pause(s, 1_500);
        for (const n of s.sim.nodes.values()) await s.sim.start(n);
        await pause(s, 16_000);
      },
    },
  ],
  [
    'blackout-lost-disk',
    {
      faults: async (s) => {
        // The power of all machines fails, and one of the disks does not survive it: what was acknowledged is on the others.
        const n = any(s, s.disks);
        s.note(`all power fails, and the disk of ${n.name} dies`);
        for (const x of s.sim.nodes.values()) if (x !== n) s.sim.kill(x);
        s.sim.loseDisk(n);
        s.world.journal.add({ k: 'closing' });
        await pause(s, 1_500);
        for (const x of s.sim.nodes.values()) await s.sim.start(x);
        await pause(s, 16_000);
      },
    },
  ],
  [
    'cursors',
    {
      forMs: 130_000,
      skewMs: 60_000,
      faults: async (s) => {
        // Consumers stay away for nearly as long as messages are remembered, and take up their cursors at whichever node, while history is
        // trimmed, keys change hands, machines come back so late that they are given snapshots, clocks jump, and the power fails.
        const aways = async (): Promise<void> => {
          for (const c of s.crowd.consumers)
            if (s.rnd.next() < 0.5) {
              c.domain = any(s, s.site.domains);
              void c.away(12_000 + 11_000 * s.rnd.next());
            }
          await pause(s, 24_000);
        };
        const late = any(s, s.stores);
        s.note(`${late.name} is gone for long`);
        s.sim.kill(late);
        for (let i = 0; i < 3; i++) {
          void aways();
          await pause(s, 8_000);
          const n = any(
            s,
            s.disks.filter((x) => x !== late),
          );
          if (i === 1) {
            s.note('all power fails');
            for (const x of s.sim.nodes.values()) s.sim.kill(x);
            await pause(s, 800);
            for (const x of s.sim.nodes.values())
              if (x !== late) {
                x.skewMs += (s.rnd.next() * 2 - 1) * 3_600_000;
                await s.sim.start(x);
              }
          } else {
            s.note(`stop ${n.name}`);
            await s.sim.stop(n);
            await pause(s, 600);
            await s.sim.start(n);
          }
          await pause(s, 18_000);
        }
        await s.sim.start(late);
        void aways();
        await pause(s, 5_000);
        const n = any(
          s,
          s.disks.filter((x) => x !== late),
        );
        s.note(`kill ${n.name}`);
        s.sim.kill(n);
        await pause(s, 25_000);
        await s.sim.start(n);
        const snapshots = late.kernel!.counters.get('copy.snapshots') ?? 0;
        s.note(`${late.name} was given ${snapshots} snapshots`);
        if (!snapshots) throw new Error('no copy was given a snapshot: the fault was not caused');
      },
    },
  ],
  [
    'handovers',
    {
      forMs: 35_000,
      faults: async (s) => {
        // Owners are stopped, killed and silenced in turn while eight publishes at a time are on their way to many of their topics.
        const more = s.crowd.topics
          .slice(4, 16)
          .map((t, i) => new Pipeliner(s.world, `many${i}`, any(s, s.site.domains), t, 60));
        for (const m of more) m.start();
        for (let i = 0; i < 6; i++) {
          const n = any(s, s.disks);
          s.note(`${['stop', 'kill', 'silence'][i % 3]} ${n.name}`);
          if (i % 3 === 0) {
            await s.sim.stop(n);
            await pause(s, 700);
            await s.sim.start(n);
          } else if (i % 3 === 1) {
            s.sim.kill(n);
            await pause(s, 2_000);
            await s.sim.start(n);
          } else {
            for (const o of s.sim.nodes.values()) if (o !== n) s.sim.cut(n.name, o.name);
            await pause(s, 2_500);
            s.sim.heal();
          }
          await pause(s, 3_000);
        }
        for (const m of more) m.stop();
        await pause(s, 3_000);
      },
    },
  ],
  [
    'join',
    {
      faults: async (s) => {
        for (const [i, disk] of [true, false, true].entries()) {
          const n = s.sim.add(`new${i}`, { role: disk ? 'store' : 'relay', domain: any(s, s.site.domains), disk });
          n.config.seeds = s.stores.slice(0, 3).map((x) => x.config.peer);
          await s.sim.start(n);
          s.note(`${n.name} joins`);
          await pause(s, 6_000);
        }
      },
    },
  ],
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
        const both = s.rnd.next() < 0.5;
        for (const o of s.sim.nodes.values()) if (o !== n) s.sim.cut(n.name, o.name, both);
        await pause(s, 4_000 + 6_000 * s.rnd.next());
        s.sim.heal();
        s.note('healed');
        await pause(s, 4_000);
      },
    },
  ],
  [
    'link-cut',
    {
      site: EIGHT_DISKS,
      forMs: 30_000,
      faults: async (s) => {
        // Some links of one machine break: it keeps its majority of seats, but not that of every shard's copies.
        const n = any(s, s.stores);
        const far = s.disks
          .filter((x) => x !== n)
          .sort(() => s.rnd.next() - 0.5)
          .slice(0, 3);
        s.note(`${n.name} loses its links to ${far.map((x) => x.name).join(' ')}`);
        for (const o of far) s.sim.cut(n.name, o.name);
        await pause(s, 8_000);
        const seen = s.world.journal.seen;
        const from = seen.length;
        await pause(s, 8_000);
        const a = seen.slice(from).filter((x) => x.k === 'pub.answer');
        const ok = a.filter((x) => x.k === 'pub.answer' && x.out === 'accepted').length;
        s.note(`accepted ${ok} of ${a.length} while the links were cut`);
        if (ok < a.length * 0.99)
          throw new Error(`only ${ok} of ${a.length} publishes were accepted while the links of ${n.name} were cut`);
        s.sim.heal();
        await pause(s, 5_000);
      },
    },
  ],
  [
    'split',
    {
      faults: async (s) => {
        const side = new Set([...s.sim.nodes.values()].filter(() => s.rnd.next() < 0.4).map((n) => n.name));
        s.note(`split off ${[...side].join(' ')}`);
        for (const a of s.sim.nodes.keys())
          for (const b of s.sim.nodes.keys()) if (side.has(a) && !side.has(b)) s.sim.cut(a, b);
        await pause(s, 5_000);
        s.sim.heal();
        await pause(s, 6_000);
      },
    },
  ],
  [
    'stale-owner',
    {
      forMs: 22_000,
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
                s.world,
                `more${i}-${j}`,
                any(s, s.site.domains),
                s.crowd.topics.filter((_, t) => t % 12 === j),
                80,
              ),
          );
          for (const m of more) m.start();
          await pause(s, 4_500);
          s.sim.heal();
          await pause(s, 3_500);
          for (const m of more) m.stop();
        }
      },
    },
  ],
  [
    'skew',
    {
      skewMs: 300_000,
      faults: async (s) => {
        const n = any(s, s.stores);
        s.sim.kill(n);
        await pause(s, 4_000);
        await s.sim.start(n);
        await pause(s, 4_000);
      },
    },
  ],
  [
    'clock-jump',
    {
      forMs: 45_000,
      faults: async (s) => {
        // Machines without a clock of their own come back with the wrong time: an hour behind, or an hour ahead.
        const hour = 3_600_000;
        for (const [i, n] of [...s.relays.slice(0, 3), s.stores[0]!, s.stores[1]!].entries()) {
          s.sim.kill(n);
          n.skewMs += (i % 2 ? 1 : -1) * hour;
          s.note(`${n.name} comes back ${i % 2 ? 'an hour ahead' : 'an hour behind'}`);
          await pause(s, 800);
          await s.sim.start(n);
          await pause(s, 3_500);
        }
        // All of them at once, and every consumer resumes where it left off.
        for (const c of s.crowd.consumers) void c.away(4_000);
        for (const n of s.sim.nodes.values()) s.sim.kill(n);
        for (const n of s.sim.nodes.values()) {
          n.skewMs += hour;
          await s.sim.start(n);
        }
        await pause(s, 12_000);
      },
    },
  ],
  [
    'operators',
    {
      faults: async (s) => {
        const plus = (n: number) =>
          configOf(s.site, [
            { name: `extra${n}`, topics: [`x${n}/*`], urgency: 'routine', patienceMs: 2_000, memoryS: 30 },
          ]);
        const op = s.crowd.operator;
        for (let i = 0; i < 4; i++) {
          const v = await op.read();
          await Promise.all([
            op.submit(`race-${i}-a`, plus(i), true, v),
            op.submit(`race-${i}-b`, plus(10 + i), true, v),
            op.submit(`free-${i}`, plus(20 + i), true),
            op.submit(`bad-${i}`, { families: [{ name: 7 }] }, false),
          ]);
          if (i === 1) {
            const n = any(s, s.stores);
            s.sim.kill(n);
            void pause(s, 2_500).then(() => s.sim.start(n));
          }
          await pause(s, 1_000);
          if (i > 0) await op.submit(`free-${i - 1}`, plus(20 + i - 1), true);
          await op.read();
        }
      },
    },
  ],
  [
    'remove-family',
    {
      forMs: 30_000,
      faults: async (s) => {
        const all = configOf(s.site).families;
        const op = s.crowd.operator;
        await op.submit('remove', { families: all.slice(0, 1) }, true);
        await pause(s, 9_000);
        await op.submit('again', { families: all }, true);
        await pause(s, 9_000);
      },
    },
  ],
  [
    'churn',
    {
      faults: async (s) => {
        for (let i = 0; i < 40; i++) {
          const c = any(s, s.crowd.consumers);
          const x = s.rnd.next();
          if (x < 0.4) c.drop();
          else if (x < 0.7) void c.away(500 + 12_000 * s.rnd.next());
          else if (x < 0.85) {
            c.domain = any(s, s.site.domains);
            c.drop('moved');
          } else {
            const t = any(s, [...c.want]);
            if (t) {
              await c.unsubscribe(t);
              void pause(s, 6_000 * s.rnd.next()).then(() => c.again(t));
            }
          }
          await pause(s, 300);
        }
        await pause(s, 8_000);
      },
    },
  ],
  [
    'cut-config',
    {
      forMs: 25_000,
      faults: async (s) => {
        // Some nodes are cut off while the configuration changes: they must stop before they serve by an old one.
        const base = configOf(s.site);
        for (let i = 0; i < 2; i++) {
          const off = [any(s, s.stores), any(s, s.relays), any(s, s.relays)];
          s.note(`cut off ${off.map((n) => n.name).join(' ')}`);
          for (const n of off)
            for (const o of s.sim.nodes.values()) if (!off.includes(o)) s.sim.cut(n.name, o.name, s.rnd.next() < 0.7);
          await s.crowd.operator.submit(
            `cut-${i}`,
            { families: i % 2 ? base.families : base.families.slice(0, 1) },
            true,
          );
          await pause(s, 6_000);
          s.sim.heal();
          await pause(s, 4_000);
        }
      },
    },
  ],
  [
    'marks',
    {
      forMs: 45_000,
      faults: async (s) => {
        // Each configuration has a marker topic of its own; every access node is asked for the last two all the time, while
        // configurations change and machines restart, are cut off and thaw.
        const m = new Marker(s.world);
        const base = configOf(s.site);
        const submit = async (n: number): Promise<void> => {
          m.at = n;
          const mark = {
            name: `mark${n}`,
            topics: [`mark/${n}`],
            urgency: 'routine' as const,
            patienceMs: 1_000,
            memoryS: 5,
          };
          await s.crowd.operator.submit(`mark-${n}`, { families: [...base.families, mark] }, true);
        };
        await submit(1);
        m.start(s.relays.map((r) => r.config.client));
        for (let n = 2; n <= 7; n++) {
          const v = any(s, [...s.relays, ...s.stores]);
          const x = s.rnd.next();
          if (x < 0.3) {
            s.note(`restart ${v.name}`);
            s.sim.kill(v);
            void pause(s, 900).then(() => s.sim.start(v));
          } else if (x < 0.6) {
            s.note(`freeze ${v.name}`);
            s.sim.freeze(v);
            void pause(s, 2_800).then(() => s.sim.thaw(v));
          } else if (x < 0.9) {
            s.note(`cut off ${v.name}`);
            for (const o of s.sim.nodes.values()) if (o !== v) s.sim.cut(v.name, o.name, s.rnd.next() < 0.7);
            void pause(s, 3_500).then(() => s.sim.heal());
          }
          await pause(s, 300 * s.rnd.next());
          await submit(n);
          await pause(s, 4_500);
        }
        m.stop();
        await s.crowd.operator.submit('no marks', base, true);
        await pause(s, 4_000);
        const asked = s.world.journal.seen.filter((x) => x.k === 'mark').length;
        s.note(`${asked} answers on markers`);
        if (asked < 4_000) throw new Error(`only ${asked} answers on markers: too few to see a quarter of a second`);
      },
    },
  ],
  [
    'revisions',
    {
      forMs: 50_000,
      faults: async (s) => {
        // Two operators at once, each with revisions of its own, resent and late, some invalid; families are renamed, cut in two and put
        // inside one another under traffic. Markers show by which configuration every access node serves, while machines have trouble.
        const m = new Marker(s.world);
        const base = configOf(s.site).families;
        const [r, u] = [base[0]!, base[1]!];
        const shapes: FleetConfig['families'][] = [
          base,
          [
            { ...r, name: u.name },
            { ...u, name: r.name },
          ],
          [{ ...r, topics: ['r/*', 'r/1*'] }, u],
          [r, { ...r, name: 'inner', topics: ['r/1*', 'r/2'] }, u],
          [
            { ...r, topics: ['r*'] },
            { ...u, topics: ['u*', 'u/0'] },
          ],
        ];
        let n = 0;
        const operators = [s.crowd.operator, new Operator(s.world, 'other')];
        const order = (i: number): Promise<unknown> => {
          const mark = ++n;
          const revision = mark * 3 + i;
          const families = [
            ...shapes[Math.floor(s.rnd.next() * shapes.length)]!,
            {
              name: 'mark',
              topics: [`mark/${mark}`],
              precedence: mark,
              patienceMs: 1_000,
              memoryS: 5,
              order: 'topic' as const,
            },
          ];
          const document = { revision, words: ['any', { of: null }], limits: { header: 1 } };
          const done = operators[i]!.revise(revision, { families }, true, document);
          if (s.rnd.next() < 0.4)
            void pause(s, 9_000 * s.rnd.next()).then(() =>
              operators[1 - i]!.revise(revision, { families }, true, document),
            );
          if (s.rnd.next() < 0.4)
            void operators[i]!.revise(
              1_000 + mark * 2 + i,
              { families: [...families, { name: 'mark', topics: [`mark/${mark}`] }] },
              false,
              document,
            );
          m.at = mark;
          return done;
        };
        await Promise.all([order(0), order(1)]);
        m.start(s.relays.map((x) => x.config.client));
        for (let round = 0; round < 6; round++) {
          const v = any(s, [...s.relays, ...s.stores]);
          const x = s.rnd.next();
          if (x < 0.3) {
            s.note(`restart ${v.name}`);
            s.sim.kill(v);
            void pause(s, 900).then(() => s.sim.start(v));
          } else if (x < 0.6) {
            s.note(`freeze ${v.name}`);
            s.sim.freeze(v);
            void pause(s, 2_800).then(() => s.sim.thaw(v));
          } else if (x < 0.9) {
            s.note(`cut off ${v.name}`);
            for (const o of s.sim.nodes.values()) if (o !== v) s.sim.cut(v.name, o.name, s.rnd.next() < 0.7);
            void pause(s, 3_500).then(() => s.sim.heal());
          }
          await pause(s, 300 * s.rnd.next());
          await Promise.all([order(0), pause(s, 600 * s.rnd.next()).then(() => order(1))]);
          await pause(s, 4_500);
        }
        m.stop();
        await pause(s, 4_000);
        const told = s.world.journal.seen.filter((x) => x.k === 'cfg.answer');
        const of = (out: string): number => told.filter((x) => x.k === 'cfg.answer' && x.out === out).length;
        s.note(`${of('taken')} taken, ${of('overtaken')} overtaken, ${of('invalid')} invalid`);
        if (of('taken') < 8 || of('overtaken') + of('invalid') < 3) throw new Error('too few of each kind');
      },
    },
  ],
  [
    'link',
    {
      forMs: 30_000,
      faults: async (s) => {
        // The links between one relay and two machines with disks break and nothing else: what goes that way must go round.
        const r = any(
          s,
          s.relays.filter((x) => !x.config.data),
        );
        const far = [...s.disks].sort(() => s.rnd.next() - 0.5).slice(0, 2);
        s.note(`the links of ${r.name} to ${far.map((x) => x.name).join(' and ')} break`);
        for (const o of far) s.sim.cut(r.name, o.name);
        const seen = s.world.journal.seen;
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
        s.sim.heal();
        await pause(s, 5_000);
      },
    },
  ],
  [
    'stall',
    {
      forMs: 30_000,
      faults: async (s) => {
        // Syncs of 1 to 3 s that stop the whole loop: on one machine, then another; owners, copies and seats are among them.
        for (let i = 0; i < 3; i++) {
          const n = any(s, s.disks);
          s.note(`syncs of ${n.name} stop its loop`);
          n.stallMs = [1_000, 3_000];
          await pause(s, 5_000);
          n.stallMs = undefined;
          await pause(s, 4_000);
        }
      },
    },
  ],
  [
    'slow-relay',
    {
      forMs: 25_000,
      faults: async (s) => {
        for (let i = 0; i < 6; i++) {
          const n = any(s, [...s.relays, ...s.stores]);
          s.note(`${n.name} is slow`);
          n.slowMs = 250;
          n.diskMs = 100;
          await pause(s, 500 + 2_500 * s.rnd.next());
          n.slowMs = 0;
          n.diskMs = 2;
          await pause(s, 800);
        }
      },
    },
  ],
  [
    'wrong-rates',
    {
      forMs: 40_000,
      faults: async (s) => {
        // Clocks run up to 3 % fast or slow, and are corrected by minutes while the machines run.
        for (const n of s.sim.nodes.values()) s.sim.setRate(n, 0.97 + 0.06 * s.rnd.next());
        for (let i = 0; i < 3; i++) {
          const n = any(s, s.stores);
          n.stepMs += (s.rnd.next() * 2 - 1) * 900_000;
          s.note(`kill ${n.name}; its wall clock is off by ${Math.round(n.stepMs)} ms`);
          s.sim.kill(n);
          await pause(s, 3_000);
          await s.sim.start(n);
          s.sim.resetStreams(0.5);
          await pause(s, 5_000);
        }
      },
    },
  ],
  [
    'half-open',
    {
      forMs: 30_000,
      faults: async (s) => {
        // Streams die without a word to either side, while check-ins on other connections go on: nobody may miss a word.
        for (let i = 0; i < 3; i++) {
          const deaf = s.crowd.consumers.filter(() => s.rnd.next() < 0.4);
          s.note(`the streams of ${deaf.length} consumers are half-open`);
          for (const c of deaf) s.sim.deaf.add(c.name);
          await pause(s, 8_000);
        }
        const noticed = s.world.journal.seen.filter((x) => x.k === 'conn.end' && x.why === 'dead stream').length;
        s.note(`${noticed} were noticed`);
        if (noticed < 15) throw new Error(`only ${noticed} dead streams were noticed`);
      },
    },
  ],
  [
    'vanish',
    {
      site: CROWDED,
      forMs: 40_000,
      faults: async (s) => {
        // Phones vanish without closing, conns are reset nearly all at once, callers move, and an owner dies just then.
        const op = s.crowd.operator;
        let on = true;
        void (async () => {
          while (on) {
            await pause(s, 120);
            void op.count(any(s, s.crowd.topics));
            void op.count('u/0');
          }
        })();
        for (let i = 0; i < 3; i++) {
          const gone = s.crowd.consumers.filter(() => s.rnd.next() < 0.25);
          s.note(`${gone.length} phones vanish`);
          for (const c of gone) c.vanish();
          await pause(s, 4_000);
          const n = any(s, s.stores);
          s.note(`mass reset, and ${n.name} dies`);
          s.sim.resetStreams(0.9);
          s.sim.kill(n);
          await pause(s, 2_000);
          for (const c of s.crowd.consumers.filter((x) => !gone.includes(x)).slice(0, 12)) {
            c.domain = any(s, s.site.domains);
            c.drop('moved');
          }
          await s.sim.start(n);
          for (const c of gone) c.start();
          await pause(s, 4_000);
        }
        on = false;
      },
    },
  ],
  [
    'crowd',
    {
      forMs: 15_000,
      faults: async (s) => {
        s.note('a crowd arrives at once');
        const more = Array.from(
          { length: 240 },
          (_, i) =>
            new Consumer(
              s.world,
              `crowd${i}`,
              any(s, s.site.domains),
              [s.crowd.topics[i % s.crowd.topics.length]!, 'u/0'],
              { jitterMs: 50 },
            ),
        );
        for (const c of more) c.start();
        await pause(s, 8_000);
        for (const c of more.slice(0, 120)) c.stop();
        await pause(s, 3_000);
      },
    },
  ],
  [
    'closing',
    {
      forMs: 10_000,
      faults: async (s) => {
        s.note('closing fault: half of the relays and a store die for good');
        // Of machines with disks a store and at most one relay: a majority of everything stays at either site.
        const v = [...s.relays.filter((r, i) => (r.config.data ? i === 0 : i % 2 === 0)), any(s, s.stores)];
        for (const n of v) s.sim.kill(n);
        s.world.journal.add({ k: 'closing' });
        await pause(s, 17_000);
      },
    },
  ],
  [
    'thin-links',
    {
      forMs: 25_000,
      faults: async (s) => {
        // Two consumers whose links can't keep up with bulky messages: they are retired, nobody else is held up.
        await s.crowd.operator.submit(
          'bulk',
          configOf(s.site, [
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
        s.sim.thin.set('thin0', 40_000);
        s.sim.thin.set('thin1', 4_000_000);
        const cs = ['thin0', 'thin1', 'wide0'].map(
          (n) => new Consumer(s.world, n, any(s, s.site.domains), ['bulk/0', 'r/0', 'u/0']),
        );
        for (const c of cs) c.start();
        const snd = [
          new Sender(s.world, 'bulky', s.site.domains[0]!, ['bulk/0'], 400, { bodyBytes: 100_000 }),
          new Sender(s.world, 'chatty', s.site.domains[0]!, ['bulk/0'], 12, { bodyBytes: 20_000 }),
        ];
        await pause(s, 1_500);
        for (const x of snd) x.start();
        await pause(s, 12_000);
        for (const x of snd) x.stop();
        s.sim.thin.clear();
        for (const c of cs) c.drop();
        await pause(s, 5_000);
        const retired = s.relays.reduce((n, r) => n + (r.kernel?.counters.get('conn.closed.saturated') ?? 0), 0);
        if (!retired) throw new Error('no conn was saturated: the fault was not caused');
        if (
          s.world.journal.seen.some(
            (x) => x.k === 'conn.end' && x.consumer !== 'thin0' && (x.why === 'saturated' || x.why === 'unknown_conn'),
          )
        )
          throw new Error('a conn with a good link was retired');
      },
    },
  ],
  [
    'late-change',
    {
      forMs: 25_000,
      faults: async (s) => {
        const op = s.crowd.operator;
        const plus = (n: string) =>
          configOf(s.site, [{ name: n, topics: [`${n}/*`], urgency: 'routine', patienceMs: 2_000, memoryS: 30 }]);
        for (let i = 0; i < 4; i++) {
          await op.submit(`c${i}`, plus(`n${i}`), true);
          await op.read();
        }
        await op.submit('stale', plus('stale'), true, 1);
        const n = any(s, s.disks);
        s.sim.kill(n);
        // Old changes come again, long after: each has its first outcome and changes nothing.
        for (let i = 0; i < 4; i++) {
          await op.submit(`c${i}`, plus(`n${i}`), true);
          await op.read();
        }
        await op.submit('stale', plus('stale'), true, 1);
        await s.sim.start(n);
        await pause(s, 3_000);
      },
    },
  ],
  [
    'wiped-seeds',
    {
      forMs: 75_000,
      faults: async (s) => {
        // The seeds' disks die one after another, each given time for repair: no second fleet may be founded.
        for (const n of s.stores.slice(0, 3)) {
          s.note(`disk of ${n.name} dies`);
          s.sim.loseDisk(n);
          await pause(s, 2_500);
          await s.sim.start(n);
          await pause(s, 20_000);
        }
      },
    },
  ],
  [
    'empty',
    {
      site: SIX_DISKS,
      forMs: 45_000,
      faults: async (s) => {
        // A disk is emptied while a machine dies and comes back; copies never get fewer.
        const op = s.crowd.operator;
        const d = any(s, s.disks);
        const disk = d.kernel!.use('register').disk!;
        const least = (): number =>
          Math.min(
            ...[
              ...s.relays
                .find((r) => r.up)!
                .kernel!.use('register')
                .value!.shards.values(),
            ].map((p) => p.copies.length),
          );
        const before = least();
        const r = await op.ask('EmptyDisk', { disk });
        if (r.status !== 200) throw new Error(`EmptyDisk: ${JSON.stringify(r.body)}`);
        // Begun, taken back half-way, and begun again.
        await pause(s, 1_200);
        const back = await op.ask('CancelEmpty', { disk });
        if (back.body.state !== 'active') throw new Error(`CancelEmpty: ${JSON.stringify(back.body)}`);
        await pause(s, 5_000);
        const whole = (await op.ask('EmptyStatus', { disk })).body.copies as number;
        if (whole < 20) throw new Error(`only ${whole} copies came back to ${d.name}`);
        await op.ask('EmptyDisk', { disk });
        const n = any(
          s,
          s.disks.filter((x) => x !== d),
        );
        await pause(s, 1_000);
        s.note(`kill ${n.name} while ${d.name} is emptied`);
        s.sim.kill(n);
        let fewest = before;
        const watch = async (ms: number): Promise<string> => {
          for (let t = 0; t < ms; t += 200) {
            await pause(s, 200);
            fewest = Math.min(fewest, least());
            const st = await op.ask('EmptyStatus', { disk });
            if (st.body.state === 'emptied') return 'emptied';
          }
          return 'not emptied';
        };
        await pause(s, 4_000);
        await s.sim.start(n);
        const end = await watch(30_000);
        if (end !== 'emptied') throw new Error(`${d.name} is ${end}`);
        if (fewest < before) throw new Error(`a shard had ${fewest} copies, ${before} were wanted`);
        s.note(`${d.name} is emptied and is taken away`);
        s.sim.loseDisk(d);
        await pause(s, 5_000);
      },
    },
  ],
  [
    'calendar',
    {
      site: SIX_DISKS,
      forMs: 60_000,
      faults: async (s) => {
        // A restart, an emptying and a new machine at known times; the keeper's machine dies in between.
        const op = s.crowd.operator;
        const at = (ms: number): number => Math.round(s.relays[0]!.kernel!.host.clock.wall() + ms);
        const e = s.stores[0]!,
          r = s.relays[s.relays.length - 1]!;
        const a = s.sim.add('added', { role: 'store', domain: any(s, s.site.domains), disk: true });
        a.config.seeds = s.stores.slice(0, 3).map((x) => x.config.peer);
        const moves = [
          { id: 'new', kind: 'add', node: a.config.peer, from: at(2_000), until: at(15_000) },
          { id: 'restart', kind: 'restart', node: r.config.peer, from: at(16_000), until: at(24_000) },
          { id: 'empty', kind: 'empty', node: e.config.peer, from: at(25_000), until: at(50_000) },
        ];
        const bad = await op.ask('PlanMoves', {
          changeId: 'past',
          moves: [{ id: 'p', kind: 'empty', node: e.config.peer, from: 1, until: 2 }],
        });
        if (bad.body.error?.tag !== 'invalid_config') throw new Error('a move in the past was taken');
        const p = await op.plan('plan', configOf(s.site), moves);
        if (p.status !== 200) throw new Error(JSON.stringify(p.body));
        await s.sim.start(a);
        await pause(s, 19_000);
        if (r.edge!.ready()) throw new Error(`${r.name} takes conns while it is away`);
        const conns = r.kernel!.use('holds').conns.size;
        if (conns) throw new Error(`${r.name} still has ${conns} conns`);
        await s.sim.stop(r);
        await pause(s, 1_500);
        await s.sim.start(r);
        await pause(s, 6_000);
        const keeper = s.disks.find((x) => x.up && x.kernel?.use('keeper').mine());
        if (keeper && keeper !== e) {
          s.note(`keeper ${keeper.name} dies`);
          s.sim.kill(keeper);
          await pause(s, 6_000);
          await s.sim.start(keeper);
        }
        await pause(s, 22_000);
        const got = (await op.ask('Moves', {})).body.moves as { id: string; state: string; why: string }[];
        const said = got.map((m) => `${m.id} ${m.state}${m.why ? ` (${m.why})` : ''}`).join(', ');
        if (said !== 'new done, restart done, empty done') throw new Error(said);
        if (!r.edge!.ready()) throw new Error(`${r.name} did not come back`);
      },
    },
  ],
  [
    'full-disk',
    {
      forMs: 30_000,
      faults: async (s) => {
        const n = any(s, s.disks);
        s.note(`disk of ${n.name} is full`);
        s.sim.fillDisk(n, true);
        for (let i = 0; i < 400 && n.up; i++) await pause(s, 50);
        if (n.up) throw new Error(`${n.name} goes on with a full disk`);
        await pause(s, 4_000);
        s.sim.fillDisk(n, false);
        await s.sim.start(n);
        await pause(s, 6_000);
      },
    },
  ],
  [
    'domain-dies',
    {
      forMs: 12_000,
      faults: async (s) => {
        const d = any(s, s.site.domains);
        s.note(`all machines of ${d} die for good`);
        for (const n of s.sim.nodes.values()) if (n.config.domain === d) s.sim.kill(n);
        s.world.journal.add({ k: 'closing' });
        await pause(s, 17_000);
      },
    },
  ],
  [
    'overload',
    {
      forMs: 30_000,
      faults: async (s) => {
        // Disks get so slow that visits pile up; the bounds are made small for the while, so that a small site meets them.
        const was = { ownerHoldingN: C.ownerHoldingN };
        // Eight publishes on the way would fill so small a holding alone.
        for (const x of s.crowd.senders) if (x instanceof Pipeliner) x.stop();
        const seen = s.world.journal.seen;
        try {
          for (const n of s.disks) n.kernel!.use('owner').bound(8);
          for (const n of s.disks) n.diskMs = 250;
          const more = Array.from(
            { length: 30 },
            (_, i) =>
              new Sender(
                s.world,
                `flood${i}`,
                any(s, s.site.domains),
                s.crowd.topics.filter((_, j) => j % 30 === i),
                60,
                { triesN: 12 },
              ),
          );
          const from = seen.length;
          for (const x of more) x.start();
          await pause(s, 9_000);
          for (const x of more) x.stop();
          const share = (prefix: string): number => {
            const a = seen.slice(from).filter((x) => x.k === 'pub.answer' && x.topic.startsWith(prefix));
            return a.filter((x) => x.k === 'pub.answer' && x.out === 'rejected').length / Math.max(1, a.length);
          };
          const prefix = (urgency: string): string => s.site.families.find((f) => f.urgency === urgency)!.prefix;
          const [u, r] = [share(prefix('urgent')), share(prefix('routine'))];
          s.note(`rejected: urgent ${(100 * u).toFixed(1)} %, routine ${(100 * r).toFixed(1)} %`);
          if (r === 0) throw new Error('nothing was rejected: the fault was not caused');
          if (u > r / 2) throw new Error(`urgent ${u.toFixed(3)} and routine ${r.toFixed(3)} were rejected alike`);
        } finally {
          for (const n of s.disks) {
            n.diskMs = 2;
            n.kernel?.use('owner').bound(was.ownerHoldingN);
          }
        }
        await pause(s, 6_000);
      },
    },
  ],
  [
    'placed',
    {
      site: SIX_DISKS,
      forMs: 30_000,
      faults: async (s) => {
        // Copies are placed by hand on three machines; one of them dies for good meanwhile and comes back.
        const op = s.crowd.operator;
        const on = s.stores.map((n) => n.config.peer);
        const config = {
          ...configOf(s.site),
          placement: Array.from({ length: C.shardsN }, (_, shard) => ({ shard, nodes: on })),
        };
        const r = await op.submit('placed', config, true);
        if (r.out !== 'taken') throw new Error(`placement ${r.out}`);
        await pause(s, 3_000);
        const n = any(s, s.stores);
        s.sim.kill(n);
        await pause(s, 4_000);
        await s.sim.start(n);
        await pause(s, 20_000);
        const v = s.relays[0]!.kernel!.use('register').value!;
        const got = [...v.shards.values()].filter(
          (p) =>
            p.copies
              .map((d) => v.disks.get(d)!.peer)
              .sort()
              .join() === [...on].sort().join(),
        ).length;
        if (got !== C.shardsN) throw new Error(`${got} of ${C.shardsN} shards are placed as asked`);
        const bad = await op.ask('SubmitConfig', {
          changeId: 'nowhere',
          config: { ...config, placement: [{ shard: 99, nodes: ['9.9.9.9:1'] }] },
        });
        if (bad.body.error?.faults?.length !== 2) throw new Error(JSON.stringify(bad.body));
      },
    },
  ],
  [
    'mixed',
    {
      forMs: 40_000,
      opts: { loss: 0.01 },
      skewMs: 60_000,
      faults: async (s) => {
        for (let i = 0; i < 7; i++) {
          const n = any(s, [...s.stores, ...s.relays]);
          const x = s.rnd.next();
          if (x < 0.35) {
            s.note(`kill ${n.name}`);
            s.sim.kill(n);
            await pause(s, 500 + 4_000 * s.rnd.next());
            await s.sim.start(n);
          } else if (x < 0.6) {
            s.note(`freeze ${n.name}`);
            s.sim.freeze(n);
            await pause(s, 500 + 4_000 * s.rnd.next());
            s.sim.thaw(n);
          } else if (x < 0.8) {
            s.note(`cut ${n.name}`);
            for (const o of s.sim.nodes.values()) if (o !== n) s.sim.cut(n.name, o.name, s.rnd.next() < 0.5);
            await pause(s, 500 + 4_000 * s.rnd.next());
            s.sim.heal();
          } else {
            s.note(`stop ${n.name}`);
            await s.sim.stop(n);
            await pause(s, 700);
            await s.sim.start(n);
          }
          if (s.rnd.next() < 0.3) s.sim.resetStreams(0.5);
          await pause(s, 1_500);
        }
        await pause(s, 4_000);
      },
    },
  ],
]);
