import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import test from 'ava';

test.serial('a short day on real processes: a kill, poor links, two operators at once, all power lost', async (t) => {
  const day = fileURLToPath(new URL('../day.js', import.meta.url));
  const args = [
    '--site',
    'small',
    '--seed',
    '3',
    '--calm-s',
    '1',
    '--no-timed',
    '--faults',
    'kill-store,links,operators,power',
  ];
  t.log(args.join(' '));
  const { code, out } = await new Promise<{ code: number | null; out: string }>((res) => {
    const p = spawn(process.execPath, [day, ...args], {
      env: { ...process.env, CI: '', NODE_ENV: '', CONSOLA_LEVEL: '3' },
    });
    let s = '';
    p.stdout.on('data', (x) => {
      s += x;
    });
    p.stderr.on('data', (x) => {
      s += x;
    });
    p.on('close', (c) => res({ code: c, out: s }));
  });
  t.is(code, 0, out.slice(-3_000));
  t.regex(out, /VERDICT: clean/);
  const n = (what: RegExp): number => Number(what.exec(out)?.[1] ?? 0);
  t.true(n(/accepted (\d+)/) > 50 && n(/delivered (\d+)/) > 100, 'the day was not empty');
  t.true(n(/an auditor reads back (\d+) topics/) > 10);
  t.true(n(/(\d+) die half-open/) > 0 && n(/(\d+) are reset at once/) > 0, 'the links were poor');
});
