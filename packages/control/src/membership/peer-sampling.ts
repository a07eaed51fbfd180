/** Peer sampling: neighbours shuffle parts of their partial views, so that each view stays an even sample of the fleet. */
import { MEMBERSHIP, randomSample, type Kernel } from '@harecross/kernel';
import { PeerView } from './peer-view.js';

/** Entries of the sender's partial view. Wire format. */
interface ShuffleRequest {
  peers: string[];
}

/** This node's partial view, and its exchange with those of others. */
export class PeerSampling {
  private readonly view: PeerView;

  constructor(private readonly kernel: Kernel) {
    const { random } = kernel.host;
    this.view = new PeerView(random, MEMBERSHIP.partialViewSize);
    kernel.on('Shuffle', (request: ShuffleRequest, sender) => {
      const answer = randomSample(random, this.view.peers(), MEMBERSHIP.shuffleSize);
      this.merge([...request.peers, sender.peer]);
      return answer;
    });
  }

  peers(): string[] {
    return this.view.peers();
  }

  /** Tells of a peer just learned of. */
  offer(peer: string): void {
    if (peer !== this.kernel.self) this.view.offer(peer);
  }

  delete(peer: string): void {
    this.view.delete(peer);
  }

  /** Exchanges entries with the neighbour that was longest not exchanged with. */
  async shuffle(): Promise<void> {
    const oldest = this.view.takeOldest();
    if (oldest === undefined) return;
    const peers = randomSample(this.kernel.host.random, this.view.peers(), MEMBERSHIP.shuffleSize - 1);
    try {
      const answer = await this.kernel.call<string[]>(oldest, 'Shuffle', { peers } satisfies ShuffleRequest);
      this.merge([...answer, oldest]);
    } catch {
      // It stays out of the view until someone names it again.
    }
  }

  private merge(peers: string[]): void {
    this.view.merge(peers.filter((peer) => peer !== this.kernel.self));
  }
}
