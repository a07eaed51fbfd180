/** Operators' orders without a pause while control disks are lost in turn: the repair is agreed before the next loss. */
import { sleep } from '@harecross/kernel';
import test from 'ava';
import type { Sim, SimNode } from '../sim.js';
import { controlFleet, diskOf, seatsOf } from './control-fleet.js';
import { FAMILIES } from './small-fleet.js';

/** Orders under way at once, at most, by the pages. */
const OPERATOR_COUNT = 8;
const READER_COUNT = 2;
/** An operator goes elsewhere after a second of silence. */
const OPERATOR_PATIENCE_MS = 1_000;
/** A machine without its disk is dark for this long, and then counts as lost for `sync_s`. */
const DARK_MS = 1_500;
const SYNC_MS = 4_000;
const LOSS_COUNT = 6;

/** Operators that each send the next revision once the one before was acknowledged, and readers that ask again and again. */
class Operators {
  acknowledged = 0;
  private revision = 1;
  private stopped = false;

  constructor(
    private readonly sim: Sim,
    private readonly controls: SimNode[],
  ) {
    for (let i = 0; i < OPERATOR_COUNT; i++) void this.operate(i);
    for (let i = 0; i < READER_COUNT; i++) void this.read(i);
  }

  stop(): void {
    this.stopped = true;
  }

  private async operate(first: number): Promise<void> {
    let at = first;
    while (!this.stopped) {
      const revision = ++this.revision;
      const body = { revision, document: { n: revision }, config: { families: FAMILIES } };
      for (let pauseMs = 50; !this.stopped; pauseMs = Math.min(800, 2 * pauseMs)) {
        const { client } = this.controls[at % this.controls.length]!.config;
        const answer = await this.sim.clientTransport.visit(client, 'SubmitConfig', body, OPERATOR_PATIENCE_MS);
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
      await this.sim.clientTransport.visit(client, 'ReadConfig', {}, OPERATOR_PATIENCE_MS);
      await sleep(this.sim.clock, 30);
    }
  }
}

// Guards against a repair that orders outbid until the next lost disk leaves no majority.
for (const seed of [102, 104])
  test(`eight operators order without a pause and control disks are lost in turn: each is repaired within sync_s (seed ${seed})`, async (t) => {
    const fleet = await controlFleet(seed);
    const operators = new Operators(fleet.sim, fleet.controls);
    await fleet.pass(2_000);
    for (let i = 0; i < LOSS_COUNT; i++) {
      const node = fleet.controls[i % fleet.controls.length]!;
      fleet.sim.loseDisk(node);
      await fleet.pass(DARK_MS);
      void fleet.sim.start(node);
      await fleet.pass(SYNC_MS);
      t.deepEqual([...seatsOf(node)].sort(), fleet.controls.map(diskOf).sort(), `loss ${i + 1}: all three vote`);
    }
    operators.stop();
    await fleet.pass(5_000);
    const read = await fleet.ask(fleet.controls[0]!, 'ReadConfig', {});
    t.true(read.body.revision >= operators.acknowledged);
    t.log(`${operators.acknowledged} revisions`);
    fleet.sim.close();
  });
