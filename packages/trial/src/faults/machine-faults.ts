/** Scenarios in which machines die, freeze, slow down, come and go. */
import type { Scenario } from '../scenario.js';
import { any, pause } from './common.js';

export const MACHINE_FAULTS: [string, Scenario][] = [
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
          await pause(s, 1_000 + 5_000 * s.random.next());
          await s.sim.start(n);
          await pause(s, 3_000);
        }
      },
    },
  ],
  [
    'rolling',
    {
      faultPhaseMs: 60_000,
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
          await pause(s, 1_000 + 6_000 * s.random.next());
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
        n.maxExtraDelayMs = 150;
        n.diskMs = 120;
        await pause(s, 8_000);
        n.maxExtraDelayMs = 0;
        n.diskMs = 2;
        await pause(s, 3_000);
      },
    },
  ],
  [
    'slow-relay',
    {
      faultPhaseMs: 25_000,
      faults: async (s) => {
        for (let i = 0; i < 6; i++) {
          const n = any(s, [...s.relays, ...s.stores]);
          s.note(`${n.name} is slow`);
          n.maxExtraDelayMs = 250;
          n.diskMs = 100;
          await pause(s, 500 + 2_500 * s.random.next());
          n.maxExtraDelayMs = 0;
          n.diskMs = 2;
          await pause(s, 800);
        }
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
    'closing',
    {
      faultPhaseMs: 10_000,
      faults: async (s) => {
        s.note('closing fault: half of the relays and a store die for good');
        // Of machines with disks a store and at most one relay: a majority of everything stays at either site.
        const v = [...s.relays.filter((r, i) => (r.config.data ? i === 0 : i % 2 === 0)), any(s, s.stores)];
        for (const n of v) s.sim.kill(n);
        s.clientContext.journal.add({ k: 'closing' });
        await pause(s, 17_000);
      },
    },
  ],
  [
    'domain-dies',
    {
      faultPhaseMs: 12_000,
      faults: async (s) => {
        const d = any(s, s.site.domains);
        s.note(`all machines of ${d} die for good`);
        for (const n of s.sim.nodes.values()) if (n.config.domain === d) s.sim.kill(n);
        s.clientContext.journal.add({ k: 'closing' });
        await pause(s, 17_000);
      },
    },
  ],
  [
    'mixed',
    {
      faultPhaseMs: 40_000,
      opts: { loss: 0.01 },
      skewMs: 60_000,
      faults: async (s) => {
        for (let i = 0; i < 7; i++) {
          const n = any(s, [...s.stores, ...s.relays]);
          const x = s.random.next();
          if (x < 0.35) {
            s.note(`kill ${n.name}`);
            s.sim.kill(n);
            await pause(s, 500 + 4_000 * s.random.next());
            await s.sim.start(n);
          } else if (x < 0.6) {
            s.note(`freeze ${n.name}`);
            s.sim.freeze(n);
            await pause(s, 500 + 4_000 * s.random.next());
            s.sim.thaw(n);
          } else if (x < 0.8) {
            s.note(`cut ${n.name}`);
            for (const o of s.sim.nodes.values()) if (o !== n) s.sim.cut(n.name, o.name, s.random.next() < 0.5);
            await pause(s, 500 + 4_000 * s.random.next());
            s.sim.healAll();
          } else {
            s.note(`stop ${n.name}`);
            await s.sim.stop(n);
            await pause(s, 700);
            await s.sim.start(n);
          }
          if (s.random.next() < 0.3) s.sim.resetStreams(0.5);
          await pause(s, 1_500);
        }
        await pause(s, 4_000);
      },
    },
  ],
];
