import test from 'ava';
import { FAULT_SCENARIOS } from '../faults.js';
import { runScenario } from '../scenario.js';

/** Seeds every change must pass; failures found by wider sweeps are added here with their scenario. */
const SEEDS = [1, 2];
const FOUND = new Map<string, number[]>([
  ['loss', [3, 35]],
  ['blackout', [5]],
  ['stall', [15]],
  ['slow-relay', [31]],
  ['freeze', [2]],
  ['mixed', [4]],
  ['churn', [4]],
  ['cut-config', [400]],
  ['join', [400]],
  ['split', [1019]],
  ['link-cut', [3]],
]);

/** Runs every n-th scenario; each test file is a process of its own. */
export function faultTests(part: number, parts: number): void {
  [...FAULT_SCENARIOS].forEach(([name, sc], i) => {
    if (i % parts !== part) return;
    for (const seed of new Set([...SEEDS, ...(FOUND.get(name) ?? [])])) {
      test.serial(`${name}, seed ${seed}`, async (t) => {
        const r = await runScenario(seed, sc);
        t.deepEqual(r.violations, []);
        const n = (k: string): number => r.seen.filter((s) => s.k === k).length;
        t.true(n('deliver') > 300 && n('count') > 10 && n('node.says') > 100, 'the day was not empty');
      });
    }
  });
}
