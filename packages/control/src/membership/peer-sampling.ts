/** Peer sampling: neighbours exchange parts of their partial views, so that each view stays a uniform sample of the fleet. */
import { MEMBERSHIP, randomSample, type Kernel } from '@harecross/kernel';
import { PeerView } from './peer-view.js';

/** Entries of the sender's partial view. Wire format. */
interface ShuffleRequest {
  peers: string[];
}

/** Keeps this node's partial view, and exchanges entries with those of other nodes. */
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

  /** Offers a newly discovered peer to the view. */
  offer(peer: string): void {
    if (peer !== this.kernel.self) this.view.offer(peer);
  }

  delete(peer: string): void {
    this.view.delete(peer);
  }

  /** Exchanges entries with the neighbour whose last exchange is the longest ago. */
  async shuffle(): Promise<void> {
    const oldest = this.view.takeOldest();
    if (oldest === undefined) return;
    const peers = randomSample(this.kernel.host.random, this.view.peers(), MEMBERSHIP.shuffleSize - 1);
    try {
      const answer = await this.kernel.call<string[]>(oldest, 'Shuffle', { peers } satisfies ShuffleRequest);
      this.merge([...answer, oldest]);
    } catch {
      // The unreachable peer stays out of the view until another node includes it in an exchange.
    }
  }

  private merge(peers: string[]): void {
    this.view.merge(peers.filter((peer) => peer !== this.kernel.self));
  }
}
