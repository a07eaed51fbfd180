/** Scenarios in which clocks are skewed, jump, or run too fast or too slow. */
import type { Scenario } from '../scenario.js';
import { randomElement, pause } from './common.js';

export const CLOCK_FAULTS: [string, Scenario][] = [
  [
    'skew',
    {
      skewMs: 300_000,
      faults: async (context) => {
        const node = randomElement(context, context.stores);
        context.sim.kill(node);
        await pause(context, 4_000);
        await context.sim.start(node);
        await pause(context, 4_000);
      },
    },
  ],
  [
    'clock-jump',
    {
      faultPhaseMs: 45_000,
      faults: async (context) => {
        // Machines without a hardware clock restart with a wall clock that is an hour behind or ahead.
        const hour = 3_600_000;
        for (const [i, node] of [...context.relays.slice(0, 3), context.stores[0]!, context.stores[1]!].entries()) {
          context.sim.kill(node);
          node.skewMs += (i % 2 ? 1 : -1) * hour;
          context.note(`${node.name} comes back ${i % 2 ? 'an hour ahead' : 'an hour behind'}`);
          await pause(context, 800);
          await context.sim.start(node);
          await pause(context, 3_500);
        }
        // All machines restart with a wrong clock at once, and every consumer resumes with its cursor.
        for (const consumer of context.crowd.consumers) void consumer.disconnectFor(4_000);
        for (const node of context.sim.nodes.values()) context.sim.kill(node);
        for (const node of context.sim.nodes.values()) {
          node.skewMs += hour;
          await context.sim.start(node);
        }
        await pause(context, 12_000);
      },
    },
  ],
  [
    'wrong-rates',
    {
      faultPhaseMs: 40_000,
      faults: async (context) => {
        // Clocks run up to 3 % too fast or too slow, and wall clocks are stepped by up to 15 minutes while the machines run.
        for (const node of context.sim.nodes.values()) context.sim.setRate(node, 0.97 + 0.06 * context.random.next());
        for (let i = 0; i < 3; i++) {
          const node = randomElement(context, context.stores);
          node.wallStepMs += (context.random.next() * 2 - 1) * 900_000;
          context.note(`kill ${node.name}; its wall clock is off by ${Math.round(node.wallStepMs)} ms`);
          context.sim.kill(node);
          await pause(context, 3_000);
          await context.sim.start(node);
          context.sim.resetStreams(0.5);
          await pause(context, 5_000);
        }
      },
    },
  ],
];
