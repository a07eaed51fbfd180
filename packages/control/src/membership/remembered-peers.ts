/** Peers that a node knew when it last ran. They are kept on its disk because all configured seeds may be gone at the next start. */
import { MEMBERSHIP, runPeriodically, type Kernel } from '@harecross/kernel';
import type { DurableState } from '@harecross/state';
import type { Member } from './member.js';

/** The key under which the addresses are stored, as JSON. It is part of the format on disk and must not change. */
const MEMBERS_KEY = 'members';

/** Loads the addresses that an earlier process of this node stored, and stores those of the current members when they change. */
export class RememberedPeers {
  /** The addresses that were stored when the process started. */
  readonly peers: string[];

  constructor(
    private readonly kernel: Kernel,
    private readonly state: DurableState,
    private readonly members: Map<string, Member>,
  ) {
    this.peers = JSON.parse(state.get(MEMBERS_KEY) ?? '[]') as string[];
    let stored = this.peers.join();
    const { clock, random } = kernel.host;
    const persist = async (): Promise<void> => {
      const peers = this.currentPeers();
      if (!peers.length || peers.join() === stored) return;
      await this.state.db.commit(() => this.state.set(MEMBERS_KEY, JSON.stringify(peers)));
      stored = peers.join();
    };
    kernel.addSubscription(runPeriodically(clock, MEMBERSHIP.rememberPeersEveryMs, random, persist));
  }

  private currentPeers(): string[] {
    return [...this.members.values()]
      .filter((member) => member.state !== 'left' && member.peer !== this.kernel.self)
      .map((member) => member.peer)
      .sort()
      .slice(0, MEMBERSHIP.rememberedPeerLimit);
  }
}
