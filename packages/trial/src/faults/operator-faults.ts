/** Scenarios of operators: configurations, races, emptied disks, the calendar and placements. */
import { isInPlannedRestart } from '@harecross/control';
import { SESSION, SHARD } from '@harecross/kernel';
import type { FleetConfig } from '@harecross/schema';
import { MarkerChecker, Operator } from '../simulated-clients.js';
import { fleetConfigOf, type Scenario } from '../scenario.js';
import { any, pause, SIX_DISKS } from './common.js';

/** A machine knows of its planned restart this long after its time at the latest: the controller's period and one agreed change. */
const RESTART_KNOWN_MS = 1_000;
/** A client that is sent away has left after this long: its detach is a way there. */
const CLIENT_LEAVES_MS = 100;

export const OPERATOR_FAULTS: [string, Scenario][] = [
  [
    'operators',
    {
      faults: async (s) => {
        const plus = (n: number) =>
          fleetConfigOf(s.site, [
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
      faultPhaseMs: 30_000,
      faults: async (s) => {
        const all = fleetConfigOf(s.site).families;
        const op = s.crowd.operator;
        await op.submit('remove', { families: all.slice(0, 1) }, true);
        await pause(s, 9_000);
        await op.submit('again', { families: all }, true);
        await pause(s, 9_000);
      },
    },
  ],
  [
    'cut-config',
    {
      faultPhaseMs: 25_000,
      faults: async (s) => {
        // Some nodes are cut off while the configuration changes: they must stop before they serve by an old one.
        const base = fleetConfigOf(s.site);
        for (let i = 0; i < 2; i++) {
          const off = [any(s, s.stores), any(s, s.relays), any(s, s.relays)];
          s.note(`cut off ${off.map((n) => n.name).join(' ')}`);
          for (const n of off)
            for (const o of s.sim.nodes.values())
              if (!off.includes(o)) s.sim.cut(n.name, o.name, s.random.next() < 0.7);
          await s.crowd.operator.submit(
            `cut-${i}`,
            { families: i % 2 ? base.families : base.families.slice(0, 1) },
            true,
          );
          await pause(s, 6_000);
          s.sim.healAll();
          await pause(s, 4_000);
        }
      },
    },
  ],
  [
    'marks',
    {
      faultPhaseMs: 45_000,
      faults: async (s) => {
        // Each configuration has a marker topic of its own; every access node is asked for the last two all the time, while
        // configurations change and machines restart, are cut off and thaw.
        const m = new MarkerChecker(s.clientContext);
        const base = fleetConfigOf(s.site);
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
          const x = s.random.next();
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
            for (const o of s.sim.nodes.values()) if (o !== v) s.sim.cut(v.name, o.name, s.random.next() < 0.7);
            void pause(s, 3_500).then(() => s.sim.healAll());
          }
          await pause(s, 300 * s.random.next());
          await submit(n);
          await pause(s, 4_500);
        }
        m.stop();
        await s.crowd.operator.submit('no marks', base, true);
        await pause(s, 4_000);
        const asked = s.clientContext.journal.seen.filter((x) => x.k === 'mark').length;
        s.note(`${asked} answers on markers`);
        if (asked < 4_000) throw new Error(`only ${asked} answers on markers: too few to see a quarter of a second`);
      },
    },
  ],
  [
    'revisions',
    {
      faultPhaseMs: 50_000,
      faults: async (s) => {
        // Two operators at once, each with revisions of its own, resent and late, some invalid; families are renamed, cut in two and put
        // inside one another under traffic. Markers show by which configuration every access node serves, while machines have trouble.
        const m = new MarkerChecker(s.clientContext);
        const base = fleetConfigOf(s.site).families;
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
        const operators = [s.crowd.operator, new Operator(s.clientContext, 'other')];
        const order = (i: number): Promise<unknown> => {
          const mark = ++n;
          const revision = mark * 3 + i;
          const families = [
            ...shapes[Math.floor(s.random.next() * shapes.length)]!,
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
          if (s.random.next() < 0.4)
            void pause(s, 9_000 * s.random.next()).then(() =>
              operators[1 - i]!.revise(revision, { families }, true, document),
            );
          if (s.random.next() < 0.4)
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
          const x = s.random.next();
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
            for (const o of s.sim.nodes.values()) if (o !== v) s.sim.cut(v.name, o.name, s.random.next() < 0.7);
            void pause(s, 3_500).then(() => s.sim.healAll());
          }
          await pause(s, 300 * s.random.next());
          await Promise.all([order(0), pause(s, 600 * s.random.next()).then(() => order(1))]);
          await pause(s, 4_500);
        }
        m.stop();
        await pause(s, 4_000);
        const told = s.clientContext.journal.seen.filter((x) => x.k === 'cfg.answer');
        const of = (out: string): number => told.filter((x) => x.k === 'cfg.answer' && x.out === out).length;
        s.note(`${of('taken')} taken, ${of('overtaken')} overtaken, ${of('invalid')} invalid`);
        if (of('taken') < 8 || of('overtaken') + of('invalid') < 3) throw new Error('too few of each kind');
      },
    },
  ],
  [
    'late-change',
    {
      faultPhaseMs: 25_000,
      faults: async (s) => {
        const op = s.crowd.operator;
        const plus = (n: string) =>
          fleetConfigOf(s.site, [{ name: n, topics: [`${n}/*`], urgency: 'routine', patienceMs: 2_000, memoryS: 30 }]);
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
    'empty',
    {
      site: SIX_DISKS,
      faultPhaseMs: 45_000,
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
      faultPhaseMs: 60_000,
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
        const p = await op.plan('plan', fleetConfigOf(s.site), moves);
        if (p.status !== 200) throw new Error(JSON.stringify(p.body));
        await s.sim.start(a);
        // It knows of its restart soon after that began, and its last client is sent away at the end of the spread.
        const knows = (): boolean => isInPlannedRestart(r.kernel!.use('register').value, r.config.peer);
        const restart = moves[1]!;
        while (!knows() && at(0) <= restart.from + RESTART_KNOWN_MS) await pause(s, 50);
        if (!knows()) throw new Error(`${r.name} does not know of its restart after ${RESTART_KNOWN_MS} ms`);
        await pause(s, SESSION.plannedDrainSpreadMs + CLIENT_LEAVES_MS);
        if (r.edge!.ready()) throw new Error(`${r.name} takes conns while it is away`);
        const conns = r.kernel!.use('sessions').size;
        if (conns) throw new Error(`${r.name} still has ${conns} conns`);
        await s.sim.stop(r);
        await pause(s, 1_500);
        await s.sim.start(r);
        await pause(s, 6_000);
        const keeper = s.disks.find((x) => x.up && x.kernel?.use('controller').isElected());
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
    'placed',
    {
      site: SIX_DISKS,
      faultPhaseMs: 30_000,
      faults: async (s) => {
        // Copies are placed by hand on three machines; one of them dies for good meanwhile and comes back.
        const op = s.crowd.operator;
        const on = s.stores.map((n) => n.config.peer);
        const config = {
          ...fleetConfigOf(s.site),
          placement: Array.from({ length: SHARD.shardCount }, (_, shard) => ({ shard, nodes: on })),
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
        if (got !== SHARD.shardCount) throw new Error(`${got} of ${SHARD.shardCount} shards are placed as asked`);
        const bad = await op.ask('SubmitConfig', {
          changeId: 'nowhere',
          config: { ...config, placement: [{ shard: 99, nodes: ['9.9.9.9:1'] }] },
        });
        if (bad.body.error?.faults?.length !== 2) throw new Error(JSON.stringify(bad.body));
      },
    },
  ],
];
