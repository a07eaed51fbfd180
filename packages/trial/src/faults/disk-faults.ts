/** Scenarios of lost, stalled and full disks, and of power failures. */
import type { Scenario } from '../scenario.js';
import { randomElement, pause } from './common.js';

export const DISK_FAULTS: [string, Scenario][] = [
  [
    'lost-disk',
    {
      faultPhaseMs: 70_000,
      faults: async (context) => {
        const node = randomElement(context, context.stores);
        context.note(`disk of ${node.name} dies`);
        context.sim.loseDisk(node);
        if (context.random.next() < 0.5) {
          await pause(context, 4_000);
          await context.sim.start(node);
          context.note(`${node.name} is back, empty`);
        }
        await pause(context, 50_000);
        const second = randomElement(
          context,
          context.disks.filter((other) => other !== node),
        );
        context.note(`kill ${second.name}`);
        context.sim.kill(second);
        await pause(context, 4_000);
        await context.sim.start(second);
      },
    },
  ],
  [
    'power',
    {
      faults: async (context) => {
        const node = randomElement(context, context.stores);
        const second = randomElement(
          context,
          context.disks.filter((other) => other !== node),
        );
        context.note(`power of ${node.name} and ${second.name} fails`);
        context.sim.kill(node);
        context.sim.kill(second);
        await pause(context, 2_000);
        await context.sim.start(node);
        await pause(context, 3_000);
        await context.sim.start(second);
      },
    },
  ],
  [
    'blackout',
    {
      faults: async (context) => {
        context.note('all power fails');
        for (const node of context.sim.nodes.values()) context.sim.kill(node);
        context.clientContext.journal.add({ k: 'closing' });
        await pause(context, 1_500);
        for (const node of context.sim.nodes.values()) await context.sim.start(node);
        await pause(context, 16_000);
      },
    },
  ],
  [
    'blackout-lost-disk',
    {
      faults: async (context) => {
        // All machines lose power, and one disk is lost too: everything acknowledged must be on the other disks.
        const node = randomElement(context, context.disks);
        context.note(`all power fails, and the disk of ${node.name} dies`);
        for (const other of context.sim.nodes.values()) if (other !== node) context.sim.kill(other);
        context.sim.loseDisk(node);
        context.clientContext.journal.add({ k: 'closing' });
        await pause(context, 1_500);
        for (const other of context.sim.nodes.values()) await context.sim.start(other);
        await pause(context, 16_000);
      },
    },
  ],
  [
    'wiped-seeds',
    {
      faultPhaseMs: 75_000,
      faults: async (context) => {
        // The disks of the seeds are lost one after another, with time for repair between them: no second fleet may be bootstrapped.
        for (const node of context.stores.slice(0, 3)) {
          context.note(`disk of ${node.name} dies`);
          context.sim.loseDisk(node);
          await pause(context, 2_500);
          await context.sim.start(node);
          await pause(context, 20_000);
        }
      },
    },
  ],
  [
    'stall',
    {
      faultPhaseMs: 30_000,
      faults: async (context) => {
        // Disk syncs block the whole event loop for 1 to 3 s, on one machine after another: of shard owners, replicas and voters.
        for (let i = 0; i < 3; i++) {
          const node = randomElement(context, context.disks);
          context.note(`syncs of ${node.name} stop its loop`);
          node.syncStallMs = [1_000, 3_000];
          await pause(context, 5_000);
          node.syncStallMs = undefined;
          await pause(context, 4_000);
        }
      },
    },
  ],
  [
    'full-disk',
    {
      faultPhaseMs: 30_000,
      faults: async (context) => {
        const node = randomElement(context, context.disks);
        context.note(`disk of ${node.name} is full`);
        context.sim.fillDisk(node, true);
        for (let i = 0; i < 400 && node.up; i++) await pause(context, 50);
        if (node.up) throw new Error(`${node.name} keeps running with a full disk`);
        await pause(context, 4_000);
        context.sim.fillDisk(node, false);
        await context.sim.start(node);
        await pause(context, 6_000);
      },
    },
  ],
];
