/** Disks that take no bytes for a while, one after another: a process must not run on without the disk that the fleet counts on. */
import { spawn } from 'node:child_process';
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { isDiskUsable } from '@harecross/kernel';
import test, { type ExecutionContext } from 'ava';
import { seededRandom, type SimNode } from '../sim.js';
import { freePorts } from '../process-fleet.js';
import { startControlFleet, type ControlFleet } from './control-fleet.js';
import { FAMILIES } from './small-fleet.js';

/** A process that ended is started again after this long. */
const RESTART_MS = 1_000;
/** How long a disk is full, and from one disk to the next: longer than the first one counts as lost. */
const FULL_MS = 5_000;
const APART_MS = 12_000;
/** `recovery_s` of the sites. */
const RECOVERY_MS = 12_000;

/** Parts of some 12 characters in an order's document; later orders have more of them. */
const DOCUMENT_PARTS = 2_000;

const topics = Array.from({ length: 20 }, (_, i) => `feed/${i}`);

/** Text that does not compress, so that each order needs room on the voters' disks. */
function textOf(revision: number): string {
  const random = seededRandom(revision);
  return Array.from({ length: DOCUMENT_PARTS + 200 * revision }, () => random.next().toString(36)).join('');
}

/** Virtual time passes; processes that end are started again, as the platform does, and one write a second keeps every disk busy. */
async function passSupervised(fleet: ControlFleet, ms: number, order: () => Promise<unknown>): Promise<void> {
  for (let passed = 0; passed < ms; passed += RESTART_MS) {
    for (const node of [...fleet.controls, ...fleet.stores]) if (!node.up) void fleet.sim.start(node);
    await order();
    await fleet.advance(RESTART_MS);
  }
}

async function publishAll(fleet: ControlFleet, seq: number): Promise<string[]> {
  const faults: string[] = [];
  for (const topic of topics) {
    const body = { sender: 'desk', topic, seq, body: `message ${seq}` };
    const answer = await fleet.ask(fleet.relays[0]!, 'Publish', body);
    if (answer.body?.accepted?.offset !== seq) faults.push(`${topic}: ${JSON.stringify(answer.body)}`);
  }
  return faults;
}

// Guards against a control process that starts while its disk is full and runs on without its vote for good.
for (const next of ['full', 'lost'] as const)
  for (const role of ['control', 'store'] as const)
    test(`the disk of a ${role} is full for 5 s, then another is ${next}: nothing acknowledged is gone`, async (t) => {
      for (const seed of [111, 112]) {
        const fleet = await startControlFleet(seed, { files: true });
        const [first, second] = (role === 'control' ? fleet.controls : fleet.stores) as [SimNode, SimNode];
        t.deepEqual(await publishAll(fleet, 1), []);
        let revision = 10;
        const order = async (): Promise<void> => {
          const body = { revision: ++revision, document: { text: textOf(revision) }, config: { families: FAMILIES } };
          await fleet.ask(fleet.relays[0]!, 'SubmitConfig', body);
        };
        fleet.sim.fillDisk(first, true);
        await passSupervised(fleet, FULL_MS, order);
        fleet.sim.fillDisk(first, false);
        await passSupervised(fleet, APART_MS - FULL_MS, order);
        if (next === 'full') fleet.sim.fillDisk(second, true);
        else fleet.sim.loseDisk(second);
        if (next === 'full') {
          await passSupervised(fleet, FULL_MS, order);
          fleet.sim.fillDisk(second, false);
          await passSupervised(fleet, RECOVERY_MS, order);
        } else await fleet.advance(RECOVERY_MS);
        t.deepEqual(await publishAll(fleet, 2), [], `seed ${seed}`);
        const read = await fleet.ask(
          fleet.controls.find((node) => node.up)!,
          'ReadConfig',
          {},
        );
        t.is(read.status, 200, `seed ${seed}`);
        fleet.sim.close();
      }
    });

/** A folder with a file where a data folder should be. */
function blockedFolder(t: ExecutionContext): { blocked: string; data: string } {
  const folder = mkdtempSync(join(tmpdir(), 'harecross-test-'));
  t.teardown(() => rmSync(folder, { recursive: true, force: true }));
  const blocked = join(folder, 'blocked');
  writeFileSync(blocked, '');
  return { blocked, data: join(blocked, 'data') };
}

function unblock(blocked: string): void {
  rmSync(blocked);
  mkdirSync(blocked);
}

test('a disk is usable once its database can be opened and written to', (t) => {
  const { blocked, data } = blockedFolder(t);
  t.false(isDiskUsable(data));
  unblock(blocked);
  t.true(isDiskUsable(data));
  t.true(isDiskUsable(data), 'it was closed again');
});

/** Runs a process of this role with this data folder. */
async function runWith(
  role: 'control' | 'relay',
  data: string,
): Promise<{ ended: Promise<number | null>; said: () => string }> {
  const [peer, client, seed] = await freePorts(3);
  const code = `
    import '@harecross/control';
    import { runProcess } from '@harecross/data';
    await runProcess({ program: 'tested', file: undefined,
      read: () => ({ role: '${role}', domain: 'a', peer: '127.0.0.1:${peer}', client: '127.0.0.1:${client}',
        seeds: ['127.0.0.1:${seed}'], data: '${data}' }),
      listen: async () => () => undefined });
  `;
  const child = spawn(process.execPath, ['--input-type=module', '-e', code], { cwd: import.meta.dirname });
  let out = '';
  for (const stream of [child.stdout, child.stderr])
    stream.on('data', (chunk) => {
      out += chunk;
    });
  return { ended: new Promise((resolve) => child.on('exit', resolve)), said: () => out };
}

const eventually = async (isSo: () => boolean, limitMs: number): Promise<boolean> => {
  const until = performance.now() + limitMs;
  while (!isSo() && performance.now() < until) await new Promise((resolve) => setTimeout(resolve, 20));
  return isSo();
};

test('without its disk a control process ends; a relay goes on, and ends to be started again once the disk is there', async (t) => {
  const { blocked, data } = blockedFolder(t);
  const control = await runWith('control', data);
  t.is(await control.ended, 1);
  t.regex(control.said(), /tested: cannot start: ENOTDIR/);
  const relay = await runWith('relay', data);
  t.true(await eventually(() => relay.said().includes('relay up'), 20_000), relay.said());
  t.regex(relay.said(), /the disk cannot be used; running as a relay without replicas until it can/);
  unblock(blocked);
  t.is(await relay.ended, 3);
  t.regex(relay.said(), /stopping: the disk is usable again/);
});
