/** Scenarios in which clocks are wrong, jump, or run at a wrong rate. */
import type { Scenario } from '../scenario.js';
import { any, pause } from './common.js';

export const CLOCK_FAULTS: [string, Scenario][] = [
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
      faultPhaseMs: 45_000,
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
        for (const c of s.crowd.consumers) void c.disconnectFor(4_000);
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
    'wrong-rates',
    {
      faultPhaseMs: 40_000,
      faults: async (s) => {
        // Clocks run up to 3 % fast or slow, and are corrected by minutes while the machines run.
        for (const n of s.sim.nodes.values()) s.sim.setRate(n, 0.97 + 0.06 * s.random.next());
        for (let i = 0; i < 3; i++) {
          const n = any(s, s.stores);
          n.wallStepMs += (s.random.next() * 2 - 1) * 900_000;
          s.note(`kill ${n.name}; its wall clock is off by ${Math.round(n.wallStepMs)} ms`);
          s.sim.kill(n);
          await pause(s, 3_000);
          await s.sim.start(n);
          s.sim.resetStreams(0.5);
          await pause(s, 5_000);
        }
      },
    },
  ],
];
