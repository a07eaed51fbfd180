/** Scenarios in which disks are lost, stall or fill up, and power fails. */
import type { Scenario } from '../scenario.js';
import { any, pause } from './common.js';

export const DISK_FAULTS: [string, Scenario][] = [
  [
    'lost-disk',
    {
      faultPhaseMs: 70_000,
      faults: async (s) => {
        const n = any(s, s.stores);
        s.note(`disk of ${n.name} dies`);
        s.sim.loseDisk(n);
        if (s.random.next() < 0.5) {
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
        s.clientContext.journal.add({ k: 'closing' });
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
        s.clientContext.journal.add({ k: 'closing' });
        await pause(s, 1_500);
        for (const x of s.sim.nodes.values()) await s.sim.start(x);
        await pause(s, 16_000);
      },
    },
  ],
  [
    'wiped-seeds',
    {
      faultPhaseMs: 75_000,
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
    'stall',
    {
      faultPhaseMs: 30_000,
      faults: async (s) => {
        // Syncs of 1 to 3 s that stop the whole loop: on one machine, then another; owners, copies and seats are among them.
        for (let i = 0; i < 3; i++) {
          const n = any(s, s.disks);
          s.note(`syncs of ${n.name} stop its loop`);
          n.syncStallMs = [1_000, 3_000];
          await pause(s, 5_000);
          n.syncStallMs = undefined;
          await pause(s, 4_000);
        }
      },
    },
  ],
  [
    'full-disk',
    {
      faultPhaseMs: 30_000,
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
];
