/** A short soak of real processes; `npm run soak` plays longer ones with many seeds. */
import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import { seededRandom } from '../sim.js';
import { drawSoak, SOAK_KINDS } from '../soak/schedule.js';

const SEED = 20261204;

test('a soak is drawn from its seed: entries in order, of every kind, some close together', (t) => {
  const entries = drawSoak(seededRandom(SEED), 600_000);
  t.deepEqual(entries, drawSoak(seededRandom(SEED), 600_000));
  t.notDeepEqual(entries, drawSoak(seededRandom(SEED + 1), 600_000));
  t.deepEqual([...new Set(entries.map((entry) => entry.kind))].sort(), [...SOAK_KINDS].sort());
  const gaps = entries.slice(1).map((entry, i) => entry.atMs - entries[i]!.atMs);
  t.true(gaps.every((gap) => gap >= 0));
  t.true(gaps.some((gap) => gap <= 150));
});

// Guards against what only processes show: signals that overlap, connections that are used until their process is gone.
test.serial(
  'signals, restarts, replacements and changes overlap on real processes: nothing acknowledged is gone',
  async (t) => {
    const program = fileURLToPath(new URL('../soak.js', import.meta.url));
    const args = ['--seed', String(SEED), '--for-s', '20', '--log'];
    const { code, out } = await new Promise<{ code: number | null; out: string }>((resolve) => {
      const child = spawn(process.execPath, [program, ...args], {
        env: { ...process.env, CI: '', NODE_ENV: '', CONSOLA_LEVEL: '3' },
      });
      let said = '';
      for (const stream of [child.stdout, child.stderr])
        stream.on('data', (chunk) => {
          said += chunk;
        });
      child.on('close', (ended) => resolve({ code: ended, out: said }));
    });
    t.log(args.join(' '));
    t.is(code, 0, out.slice(-4_000));
    t.regex(out, /VERDICT: clean, 1 seeds/);
    const count = (what: RegExp): number => Number(what.exec(out)?.[1] ?? 0);
    t.true(count(/(\d+) accepted/) > 100 && count(/(\d+) delivered/) > 100, 'the soak was not empty');
    t.true(count(/(\d+) topics read back/) > 10);
  },
);
