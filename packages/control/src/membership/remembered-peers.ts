/** Peers that a node knew when it last ran, kept on its disk: the seeds of the next start may all be gone by then. */
import { MEMBERSHIP, runPeriodically, type Kernel } from '@harecross/kernel';
import type { DurableState } from '@harecross/state';
import type { Member } from './member.js';

/** The key under which the addresses are stored, as JSON. Stored data: it stays. */
const MEMBERS_ROW = 'members';

/** The addresses that an earlier process of this machine stored. Follows the members, and stores them as they change. */
export class RememberedPeers {
  /** Addresses as they were when the process started. */
  readonly peers: string[];

  constructor(
    private readonly kernel: Kernel,
    private readonly state: DurableState,
    private readonly members: Map<string, Member>,
  ) {
    this.peers = JSON.parse(state.get(MEMBERS_ROW) ?? '[]') as string[];
    let stored = this.peers.join();
    const { clock, random } = kernel.host;
    const persist = async (): Promise<void> => {
      const peers = this.present();
      if (!peers.length || peers.join() === stored) return;
      await this.state.db.commit(() => this.state.set(MEMBERS_ROW, JSON.stringify(peers)));
      stored = peers.join();
    };
    kernel.addSubscription(runPeriodically(clock, MEMBERSHIP.rememberPeersEveryMs, random, persist));
  }

  private present(): string[] {
    return [...this.members.values()]
      .filter((member) => member.state !== 'left' && member.peer !== this.kernel.self)
      .map((member) => member.peer)
      .sort()
      .slice(0, MEMBERSHIP.rememberedPeerLimit);
  }
}
