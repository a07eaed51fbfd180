import { randomInt, type RandomSource } from '@harecross/kernel';

/**
 * A node's partial view of the membership: a few peers, drawn evenly from all, that gossip goes to. Neighbours swap parts of their
 * views, so that a view changes slowly and no node stands in more views than others.
 * @example
 * view.offer('10.0.0.4:7100'); // kept with the same chance as every other member
 */
export class PeerView {
  /** Rounds since each peer was last exchanged with. */
  private ages = new Map<string, number>();
  /** Members offered so far, for an even draw among them. */
  private offered = 0;

  constructor(
    private random: RandomSource,
    private limit: number,
  ) {}

  peers(): string[] {
    return [...this.ages.keys()];
  }

  /** A member just learned of. Once the view is full it replaces a random entry with falling odds: the entries stay an even sample. */
  offer(peer: string): void {
    this.offered++;
    if (this.ages.has(peer)) return;
    if (this.ages.size >= this.limit) {
      if (this.random.next() * this.offered >= this.limit) return;
      this.ages.delete(this.peers()[randomInt(this.random, this.ages.size)]!);
    }
    this.ages.set(peer, 0);
  }

  /** Takes in what a neighbour gave of its view; the entries not heard of for longest make room. */
  merge(peers: string[]): void {
    for (const peer of peers) if (!this.ages.has(peer)) this.ages.set(peer, 0);
    while (this.ages.size > this.limit) this.ages.delete(this.oldest()!);
  }

  /** Begins a round of exchange: all entries age, and the oldest is taken out. */
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
