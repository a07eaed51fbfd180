import type { Answer, Method, Visit } from '@harecross/schema';
import type { Row } from './query.js';

/** One visit; undefined when there was no answer. */
export type CallNode = <M extends Method>(client: string, method: M, body: Visit<M>) => Promise<Answer<M> | undefined>;

/** What a look at the fleet gave: rows by table, how old, and who did not answer. */
export interface FleetView {
  at: string;
  tables: Map<string, Row[]>;
  silent: string[];
  queriedNodes: number;
  tookMs: number;
}

export const TABLES = [
  'members',
  'nodes',
  'disks',
  'keys',
  'copies',
  'holds',
  'interest',
  'moves',
  'holdings',
  'counters',
] as const;

const row = (x: object): Row => new Map(Object.entries(x));
const list = (xs: unknown[] | undefined): string => (xs?.length ? xs.join(' ') : '');

/**
 * Looks at the whole fleet: one node for what all know, every node for what only it knows.
 * @example
 * const v = await look(['10.0.0.4:7000'], ask, Date.now);
 */
export async function fetchFleetView(at: string[], ask: CallNode, now: () => number): Promise<FleetView | undefined> {
  const t0 = now();
  let fleet: Answer<'Fleet'> | undefined;
  for (const a of at) {
    fleet = await ask(a, 'Fleet', {});
    if (fleet) break;
  }
  if (!fleet) return undefined;
  const members = fleet.members;
  const here = members.filter((m) => m.state !== 'left' && m.state !== 'dead');
  const [moves, ...nodes] = await Promise.all([
    ask(at.find(Boolean)!, 'Moves', {}),
    ...here.map((m) => ask(m.client, 'Node', {})),
  ]);
  const got = nodes.filter((n) => n !== undefined);
  const place = new Map(fleet.keys.map((k) => [k.shard, k]));
  const nameOf = new Map<string, string>(fleet.disks.map((d) => [d.id, d.peer]));
  const per = (f: (n: Answer<'Node'>) => Row[]): Row[] => got.flatMap(f);
  const tables = new Map<string, Row[]>([
    ['members', members.map(row)],
    [
      'nodes',
      got.map((n) =>
        row({
          peer: n.peer,
          phase: n.phase,
          version: n.version,
          rev: n.rev,
          fresh: n.fresh,
          conns: n.conns,
          owned: n.keys.length,
          copies: n.copies.length,
          holds: n.holds.length,
          inst: n.inst,
        }),
      ),
    ],
    ['disks', fleet.disks.map(row)],
    // Two nodes that both say they own a shard are both shown: the higher fence is the owner.
    [
      'keys',
      per((n) =>
        n.keys.map((k) =>
          row({
            shard: k.shard,
            owner: n.peer,
            gen: Number(k.fence.slice(0, 8)),
            number: Number(k.fence.slice(9, 19)),
            last: k.last,
            commit: k.commit,
            behind: k.behind.length,
            copies: list(place.get(k.shard)?.copies.map((d: string) => nameOf.get(d) ?? d)),
          }),
        ),
      ).concat(
        [...place.values()]
          .filter((p) => !got.some((n) => n.keys.some((k) => k.shard === p.shard)))
          .map((p) =>
            row({
              shard: p.shard,
              owner: undefined,
              gen: p.gen,
              copies: list(p.copies.map((d: string) => nameOf.get(d) ?? d)),
            }),
          ),
      ),
    ],
    [
      'copies',
      per((n) =>
        n.copies.map((c) =>
          row({
            node: n.peer,
            ...c,
            placed: place.get(c.shard)?.copies.some((d: string) => nameOf.get(d) === n.peer) ?? false,
          }),
        ),
      ),
    ],
    [
      'holds',
      per((n) =>
        n.holds.map((h) => row({ relay: n.peer, topic: h.topic, shard: h.shard, subs: h.subs, seen: h.seen })),
      ),
    ],
    ['interest', per((n) => n.interest.map((i) => row({ owner: n.peer, relay: i.relay, topics: i.topics })))],
    ['moves', (moves?.moves ?? []).map(row)],
    ['holdings', per((n) => n.holdings.map((h) => row({ node: n.peer, ...h })))],
    ['counters', per((n) => Object.entries(n.counters).map(([name, value]) => row({ node: n.peer, name, value })))],
  ]);
  return {
    at: fleet.at,
    tables,
    silent: here.filter((_, i) => nodes[i] === undefined).map((m) => m.peer),
    queriedNodes: here.length,
    tookMs: Math.round(now() - t0),
  };
}

/**
 * How far to trust an answer, in one line.
 * @example
 * trust(view); // 'from 15 of 15 nodes within 21 ms, members as 10.0.0.4:7100 knows them'
 */
export function describeCompleteness(v: FleetView): string {
  const old = Math.max(
    0,
    ...(v.tables.get('members') ?? []).filter((m) => m.get('state') === 'live').map((m) => Number(m.get('ageMs'))),
  );
  return `from ${v.queriedNodes - v.silent.length} of ${v.queriedNodes} nodes within ${v.tookMs} ms; members as ${v.at} knows them, live ones heard of at most ${old} ms before${v.silent.length ? `; NO ANSWER from ${v.silent.join(', ')}` : ''}`;
}
