/** The voter's part of the consensus register: promises and accepted values on this node's disk. */
import { Failure, type Kernel } from '@harecross/kernel';
import type { Store } from '@harecross/state';
import { fromText } from '../text.js';
import type { Value } from '../value.js';
import type { Accepted, Prepared, ReadBack } from './ballots.js';

/**
 * Answers ballots by what this disk has promised and accepted. Nothing is answered before it is synced, and a
 * promise is never taken back: it refuses every ballot below the highest one promised.
 */
export class Acceptor {
  /** What was accepted last, chosen or not, and under which ballot. */
  accepted?: Value;
  acceptedBallot = '';

  constructor(
    private kernel: Kernel,
    private store: Store,
    readonly disk: string,
    /** The revision that this node knows to be chosen. */
    private knownRev: () => number,
  ) {
    const saved = store.seat();
    if (saved.value) {
      this.accepted = fromText(saved.value);
      this.acceptedBallot = saved.ballot;
    }
    kernel.on('RegPrepare', (b: { disk: string; ballot: string }) => this.prepare(b));
    kernel.on('RegAccept', (b: { disk: string; ballot: string; value: string }) => this.accept(b));
    kernel.on('RegRead', (b: { disk: string }) => this.readBack(b));
    kernel.on('RegWho', () => ({ disk, fleet: store.get('fleet') }));
  }

  private mustBeOurs(disk: string, step: string): void {
    if (disk !== this.disk) throw new Failure({ tag: 'unknown_disk', step, peer: this.kernel.self, disk });
  }

  private prepare(b: { disk: string; ballot: string }): Promise<Prepared> {
    const { store, disk } = this;
    this.mustBeOurs(b.disk, 'RegPrepare');
    return store.db.commit((): Prepared => {
      const saved = store.seat();
      if (b.ballot <= saved.promised) return { disk, ok: false, promised: saved.promised, ballot: saved.ballot };
      store.saveSeat({ ...saved, promised: b.ballot });
      return { disk, ok: true, promised: b.ballot, ballot: saved.ballot, value: saved.value };
    });
  }

  private async accept(b: { disk: string; ballot: string; value: string }): Promise<Accepted> {
    const { store, disk } = this;
    this.mustBeOurs(b.disk, 'RegAccept');
    const answer = await store.db.commit((): Accepted => {
      const saved = store.seat();
      if (b.ballot < saved.promised) return { disk, ok: false, promised: saved.promised };
      store.saveSeat({ promised: b.ballot, ballot: b.ballot, value: b.value });
      return { disk, ok: true, promised: b.ballot };
    });
    // Told to nobody before it is synced: a value that a majority has accepted is chosen.
    if (answer.ok && b.ballot >= this.acceptedBallot) {
      this.accepted = fromText(b.value);
      this.acceptedBallot = b.ballot;
    }
    return answer;
  }

  private readBack(b: { disk: string }): ReadBack {
    this.mustBeOurs(b.disk, 'RegRead');
    return { disk: this.disk, rev: this.accepted?.rev ?? 0, known: this.knownRev(), ballot: this.acceptedBallot };
  }
}
