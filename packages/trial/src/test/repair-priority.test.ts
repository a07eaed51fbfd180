/** Operators submit continuously while control disks are lost in turn: each repair is decided before the next loss. */
import { sleep } from '@harecross/kernel';
import test from 'ava';
import type { Sim, SimNode } from '../sim.js';
import { startControlFleet, diskIdOf, votersAt } from './control-fleet.js';
import { FAMILIES } from './small-fleet.js';

/** The documented maximum of concurrent submissions. */
const OPERATOR_COUNT = 8;
const READER_COUNT = 2;
/** An operator tries another node after a second without an answer. */
const OPERATOR_TIMEOUT_MS = 1_000;
/** A machine that lost its disk is down for this long, and then counts as lost for `sync_s`. */
const DOWNTIME_MS = 1_500;
const SYNC_MS = 4_000;
const LOSS_COUNT = 6;

/** Operators that each submit the next revision once the previous one was answered, and readers that poll. */
class Operators {
  acknowledged = 0;
  private revision = 1;
  private stopped = false;

  constructor(
    private readonly sim: Sim,
    private readonly controls: SimNode[],
  ) {
    for (let i = 0; i < OPERATOR_COUNT; i++) void this.submitRevisions(i);
    for (let i = 0; i < READER_COUNT; i++) void this.read(i);
  }

  stop(): void {
    this.stopped = true;
  }

  private async submitRevisions(first: number): Promise<void> {
    let at = first;
    while (!this.stopped) {
      const revision = ++this.revision;
      const body = { revision, document: { n: revision }, config: { families: FAMILIES } };
      for (let pauseMs = 50; !this.stopped; pauseMs = Math.min(800, 2 * pauseMs)) {
        const { client } = this.controls[at % this.controls.length]!.config;
        const answer = await this.sim.clientTransport.visit(client, 'SubmitConfig', body, OPERATOR_TIMEOUT_MS);
        if (answer?.status === 200) this.acknowledged = Math.max(this.acknowledged, revision);
        if (answer !== undefined && answer.status < 500) break;
        at++;
        await sleep(this.sim.clock, pauseMs);
      }
    }
  }

  private async read(first: number): Promise<void> {
    for (let at = first; !this.stopped; at++) {
      const { client } = this.controls[at % this.controls.length]!.config;
      await this.sim.clientTransport.visit(client, 'ReadConfig', {}, OPERATOR_TIMEOUT_MS);
      await sleep(this.sim.clock, 30);
    }
  }
}

// Guards against submissions that preempt the ballots of a repair until the next lost disk leaves no majority.
for (const seed of [102, 104])
  test(`eight operators submit continuously and control disks are lost in turn: each is repaired within sync_s (seed ${seed})`, async (t) => {
    const fleet = await startControlFleet(seed);
    const operators = new Operators(fleet.sim, fleet.controls);
    await fleet.advance(2_000);
    for (let i = 0; i < LOSS_COUNT; i++) {
      const node = fleet.controls[i % fleet.controls.length]!;
      fleet.sim.loseDisk(node);
      await fleet.advance(DOWNTIME_MS);
      void fleet.sim.start(node);
      await fleet.advance(SYNC_MS);
      t.deepEqual(
        [...votersAt(node)].sort(),
        fleet.controls.map(diskIdOf).sort(),
        `loss ${i + 1}: all three are voters`,
      );
    }
    operators.stop();
    await fleet.advance(5_000);
    const read = await fleet.ask(fleet.controls[0]!, 'ReadConfig', {});
    t.true(read.body.revision >= operators.acknowledged);
    t.log(`${operators.acknowledged} revisions`);
    fleet.sim.close();
  });
