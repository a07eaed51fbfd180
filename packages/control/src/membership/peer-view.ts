import { randomInt, type RandomSource } from '@harecross/kernel';

/**
 * A node's partial view of the membership: a few peers, sampled uniformly from all members, to which it sends gossip. Neighbours
 * exchange parts of their views, so that a view changes slowly and no node appears in more views than others.
 * @example
 * view.offer('10.0.0.4:7100'); // kept with the same probability as every other member
 */
export class PeerView {
  /** Number of shuffle rounds since each peer was added to the view. */
  private ages = new Map<string, number>();
  /** Number of members offered so far, for reservoir sampling. */
  private offeredCount = 0;

  constructor(
    private random: RandomSource,
    private limit: number,
  ) {}

  peers(): string[] {
    return [...this.ages.keys()];
  }

  /**
   * Offers a newly discovered member. Once the view is full, it replaces a random entry with a probability that decreases with each
   * offer, so that the entries stay a uniform sample (reservoir sampling).
   */
  offer(peer: string): void {
    this.offeredCount++;
    if (this.ages.has(peer)) return;
    if (this.ages.size >= this.limit) {
      if (this.random.next() * this.offeredCount >= this.limit) return;
      this.ages.delete(this.peers()[randomInt(this.random, this.ages.size)]!);
    }
    this.ages.set(peer, 0);
  }

  /** Adds entries of a neighbour's view; the oldest entries are evicted to make room. */
  merge(peers: string[]): void {
    for (const peer of peers) if (!this.ages.has(peer)) this.ages.set(peer, 0);
    while (this.ages.size > this.limit) this.ages.delete(this.oldest()!);
  }

  /** Starts a shuffle round: increments the age of all entries, and removes and returns the oldest one. */
  takeOldest(): string | undefined {
    for (const [peer, age] of this.ages) this.ages.set(peer, age + 1);
    const oldest = this.oldest();
    if (oldest !== undefined) this.ages.delete(oldest);
    return oldest;
  }

  delete(peer: string): void {
    this.ages.delete(peer);
  }

  private oldest(): string | undefined {
    return [...this.ages].sort((a, b) => b[1] - a[1])[0]?.[0];
  }
}
