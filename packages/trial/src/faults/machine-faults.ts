/** Scenarios in which machines are killed, restarted, frozen, slowed down, added or removed. */
import type { Scenario } from '../scenario.js';
import { randomElement, pause } from './common.js';

export const MACHINE_FAULTS: [string, Scenario][] = [
  [
    'calm',
    {
      faults: async (context) => {
        await pause(context, 10_000);
      },
    },
  ],
  [
    'kill-relay',
    {
      faults: async (context) => {
        for (let i = 0; i < 3; i++) {
          const node = randomElement(context, context.relays);
          context.note(`kill ${node.name}`);
          context.sim.kill(node);
          await pause(context, 3_000);
          await context.sim.start(node);
          await pause(context, 2_000);
        }
      },
    },
  ],
  [
    'kill-store',
    {
      faults: async (context) => {
        for (let i = 0; i < 3; i++) {
          const node = randomElement(context, context.stores);
          context.note(`kill ${node.name}`);
          context.sim.kill(node);
          await pause(context, 1_000 + 5_000 * context.random.next());
          await context.sim.start(node);
          await pause(context, 3_000);
        }
      },
    },
  ],
  [
    'rolling',
    {
      faultPhaseMs: 60_000,
      faults: async (context) => {
        for (const node of [...context.stores, ...context.relays]) {
          context.note(`stop ${node.name}`);
          if (!(await context.sim.stop(node))) context.note(`${node.name} had to be killed`);
          await pause(context, 1_500);
          await context.sim.start(node);
          await pause(context, 3_000);
        }
      },
    },
  ],
  [
    'freeze',
    {
      faults: async (context) => {
        for (let i = 0; i < 3; i++) {
          const node = randomElement(context, [...context.stores, ...context.relays]);
          context.note(`freeze ${node.name}`);
          context.sim.freeze(node);
          await pause(context, 1_000 + 6_000 * context.random.next());
          context.sim.thaw(node);
          context.note(`thaw ${node.name}`);
          await pause(context, 2_000);
        }
      },
    },
  ],
  [
    'slow',
    {
      faults: async (context) => {
        const node = randomElement(context, context.disks);
        node.maxExtraDelayMs = 150;
        node.diskMs = 120;
        await pause(context, 8_000);
        node.maxExtraDelayMs = 0;
        node.diskMs = 2;
        await pause(context, 3_000);
      },
    },
  ],
  [
    'slow-relay',
    {
      faultPhaseMs: 25_000,
      faults: async (context) => {
        for (let i = 0; i < 6; i++) {
          const node = randomElement(context, [...context.relays, ...context.stores]);
          context.note(`${node.name} is slow`);
          node.maxExtraDelayMs = 250;
          node.diskMs = 100;
          await pause(context, 500 + 2_500 * context.random.next());
          node.maxExtraDelayMs = 0;
          node.diskMs = 2;
          await pause(context, 800);
        }
      },
    },
  ],
  [
    'join',
    {
      faults: async (context) => {
        for (const [i, disk] of [true, false, true].entries()) {
          const node = context.sim.add(`new${i}`, {
            role: disk ? 'store' : 'relay',
            domain: randomElement(context, context.site.domains),
            disk,
          });
          node.config.seeds = context.stores.slice(0, 3).map((other) => other.config.peer);
          await context.sim.start(node);
          context.note(`${node.name} joins`);
          await pause(context, 6_000);
        }
      },
    },
  ],
  [
    'closing',
    {
      faultPhaseMs: 10_000,
      faults: async (context) => {
        context.note('closing fault: half of the relays and a store die for good');
        // Of the machines with a disk, one store and at most one relay are killed: every replica set keeps its majority in either deployment.
        const victims = [
          ...context.relays.filter((relay, i) => (relay.config.data ? i === 0 : i % 2 === 0)),
          randomElement(context, context.stores),
        ];
        for (const node of victims) context.sim.kill(node);
        context.clientContext.journal.add({ k: 'closing' });
        await pause(context, 17_000);
      },
    },
  ],
  [
    'domain-dies',
    {
      faultPhaseMs: 12_000,
      faults: async (context) => {
        const domain = randomElement(context, context.site.domains);
        context.note(`all machines of ${domain} die for good`);
        for (const node of context.sim.nodes.values()) if (node.config.domain === domain) context.sim.kill(node);
        context.clientContext.journal.add({ k: 'closing' });
        await pause(context, 17_000);
      },
    },
  ],
  [
    'mixed',
    {
      faultPhaseMs: 40_000,
      opts: { loss: 0.01 },
      skewMs: 60_000,
      faults: async (context) => {
        for (let i = 0; i < 7; i++) {
          const node = randomElement(context, [...context.stores, ...context.relays]);
          const choice = context.random.next();
          if (choice < 0.35) {
            context.note(`kill ${node.name}`);
            context.sim.kill(node);
            await pause(context, 500 + 4_000 * context.random.next());
            await context.sim.start(node);
          } else if (choice < 0.6) {
            context.note(`freeze ${node.name}`);
            context.sim.freeze(node);
            await pause(context, 500 + 4_000 * context.random.next());
            context.sim.thaw(node);
          } else if (choice < 0.8) {
            context.note(`cut ${node.name}`);
            for (const other of context.sim.nodes.values())
              if (other !== node) context.sim.cut(node.name, other.name, context.random.next() < 0.5);
            await pause(context, 500 + 4_000 * context.random.next());
            context.sim.healAll();
          } else {
            context.note(`stop ${node.name}`);
            await context.sim.stop(node);
            await pause(context, 700);
            await context.sim.start(node);
          }
          if (context.random.next() < 0.3) context.sim.resetStreams(0.5);
          await pause(context, 1_500);
        }
        await pause(context, 4_000);
      },
    },
  ],
];
