/** Scenarios of clients that stay away, vanish, come in crowds or press too hard. */
import { SHARD } from '@harecross/kernel';
import { Consumer, PipelinedSender, Sender } from '../simulated-clients.js';
import type { Scenario } from '../scenario.js';
import { any, CROWDED, pause } from './common.js';

export const CLIENT_FAULTS: [string, Scenario][] = [
  [
    'cursors',
    {
      faultPhaseMs: 130_000,
      skewMs: 60_000,
      faults: async (s) => {
        // Consumers stay away for nearly as long as messages are remembered, and take up their cursors at whichever node, while history is
        // trimmed, keys change hands, machines come back so late that they are given snapshots, clocks jump, and the power fails.
        const aways = async (): Promise<void> => {
          for (const c of s.crowd.consumers)
            if (s.random.next() < 0.5) {
              c.domain = any(s, s.site.domains);
              void c.disconnectFor(12_000 + 11_000 * s.random.next());
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
                x.skewMs += (s.random.next() * 2 - 1) * 3_600_000;
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
      faultPhaseMs: 35_000,
      faults: async (s) => {
        // Owners are stopped, killed and silenced in turn while eight publishes at a time are on their way to many of their topics.
        const more = s.crowd.topics
          .slice(4, 16)
          .map((t, i) => new PipelinedSender(s.clientContext, `many${i}`, any(s, s.site.domains), t, 60));
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
            s.sim.healAll();
          }
          await pause(s, 3_000);
        }
        for (const m of more) m.stop();
        await pause(s, 3_000);
      },
    },
  ],
  [
    'churn',
    {
      faults: async (s) => {
        for (let i = 0; i < 40; i++) {
          const c = any(s, s.crowd.consumers);
          const x = s.random.next();
          if (x < 0.4) c.disconnect();
          else if (x < 0.7) void c.disconnectFor(500 + 12_000 * s.random.next());
          else if (x < 0.85) {
            c.domain = any(s, s.site.domains);
            c.disconnect('moved');
          } else {
            const t = any(s, [...c.want]);
            if (t) {
              await c.unsubscribe(t);
              void pause(s, 6_000 * s.random.next()).then(() => c.again(t));
            }
          }
          await pause(s, 300);
        }
        await pause(s, 8_000);
      },
    },
  ],
  [
    'vanish',
    {
      site: CROWDED,
      faultPhaseMs: 40_000,
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
          const gone = s.crowd.consumers.filter(() => s.random.next() < 0.25);
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
            c.disconnect('moved');
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
      faultPhaseMs: 15_000,
      faults: async (s) => {
        s.note('a crowd arrives at once');
        const more = Array.from(
          { length: 240 },
          (_, i) =>
            new Consumer(
              s.clientContext,
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
    'overload',
    {
      faultPhaseMs: 30_000,
      faults: async (s) => {
        // Disks get so slow that visits pile up; the bounds are made small for the while, so that a small site meets them.
        const was = { ownerQueueLimit: SHARD.ownerQueueLimit };
        // Eight publishes on the way would fill so small a holding alone.
        for (const x of s.crowd.senders) if (x instanceof PipelinedSender) x.stop();
        const seen = s.clientContext.journal.seen;
        try {
          for (const n of s.disks) n.kernel!.use('owner').resizePublishQueue(8);
          for (const n of s.disks) n.diskMs = 250;
          const more = Array.from(
            { length: 30 },
            (_, i) =>
              new Sender(
                s.clientContext,
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
            n.kernel?.use('owner').resizePublishQueue(was.ownerQueueLimit);
          }
        }
        await pause(s, 6_000);
      },
    },
  ],
];
