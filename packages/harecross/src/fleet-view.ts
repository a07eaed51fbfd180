import type { Answer, Method, Visit } from '@harecross/schema';
import type { Row } from './query.js';

/** Sends one RPC to a node; undefined if there was no answer. */
export type CallNode = <M extends Method>(client: string, method: M, body: Visit<M>) => Promise<Answer<M> | undefined>;

/** State of the whole fleet as tables, and the nodes that did not answer. */
export interface FleetView {
  /** Peer address of the node whose view of the membership is shown. */
  at: string;
  tables: Map<string, Row[]>;
  /** Peer addresses of the nodes that did not answer. */
  silent: string[];
  /** Number of nodes that were queried. */
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

const toRow = (fields: object): Row => new Map(Object.entries(fields));
const joinList = (values: unknown[] | undefined): string => (values?.length ? values.join(' ') : '');

/**
 * Collects the state of the whole fleet: from one node what every node knows, and from each node what only it knows.
 * @example
 * const view = await fetchFleetView(['10.0.0.4:7000'], callNode, Date.now);
 */
export async function fetchFleetView(
  addresses: string[],
  callNode: CallNode,
  now: () => number,
): Promise<FleetView | undefined> {
  const startedAt = now();
  let fleet: Answer<'Fleet'> | undefined;
  for (const address of addresses) {
    fleet = await callNode(address, 'Fleet', {});
    if (fleet) break;
  }
  if (!fleet) return undefined;
  const members = fleet.members;
  const present = members.filter((m) => m.state !== 'left' && m.state !== 'dead');
  const [moves, ...nodes] = await Promise.all([
    callNode(addresses.find(Boolean)!, 'Moves', {}),
    ...present.map((m) => callNode(m.client, 'Node', {})),
  ]);
  const answered = nodes.filter((n) => n !== undefined);
  const placements = new Map(fleet.keys.map((k) => [k.shard, k]));
  const peerOfDisk = new Map<string, string>(fleet.disks.map((d) => [d.id, d.peer]));
  const rowsPerNode = (f: (n: Answer<'Node'>) => Row[]): Row[] => answered.flatMap(f);
  const tables = new Map<string, Row[]>([
    ['members', members.map(toRow)],
    [
      'nodes',
      answered.map((n) =>
        toRow({
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
    ['disks', fleet.disks.map(toRow)],
    // If two nodes claim to own a shard, both are shown; the one with the higher fence is the owner.
    [
      'keys',
      rowsPerNode((n) =>
        n.keys.map((k) =>
          toRow({
            shard: k.shard,
            owner: n.peer,
            gen: Number(k.fence.slice(0, 8)),
            number: Number(k.fence.slice(9, 19)),
            last: k.last,
            commit: k.commit,
            behind: k.behind.length,
            copies: joinList(placements.get(k.shard)?.copies.map((d: string) => peerOfDisk.get(d) ?? d)),
          }),
        ),
      ).concat(
        [...placements.values()]
          .filter((p) => !answered.some((n) => n.keys.some((k) => k.shard === p.shard)))
          .map((p) =>
            toRow({
              shard: p.shard,
              owner: undefined,
              gen: p.gen,
              copies: joinList(p.copies.map((d: string) => peerOfDisk.get(d) ?? d)),
            }),
          ),
      ),
    ],
    [
      'copies',
      rowsPerNode((n) =>
        n.copies.map((c) =>
          toRow({
            node: n.peer,
            ...c,
            placed: placements.get(c.shard)?.copies.some((d: string) => peerOfDisk.get(d) === n.peer) ?? false,
          }),
        ),
      ),
    ],
    [
      'holds',
      rowsPerNode((n) =>
        n.holds.map((h) => toRow({ relay: n.peer, topic: h.topic, shard: h.shard, subs: h.subs, seen: h.seen })),
      ),
    ],
    ['interest', rowsPerNode((n) => n.interest.map((i) => toRow({ owner: n.peer, relay: i.relay, topics: i.topics })))],
    ['moves', (moves?.moves ?? []).map(toRow)],
    ['holdings', rowsPerNode((n) => n.holdings.map((h) => toRow({ node: n.peer, ...h })))],
    [
      'counters',
      rowsPerNode((n) => Object.entries(n.counters).map(([name, value]) => toRow({ node: n.peer, name, value }))),
    ],
  ]);
  return {
    at: fleet.at,
    tables,
    silent: present.filter((_, i) => nodes[i] === undefined).map((m) => m.peer),
    queriedNodes: present.length,
    tookMs: Math.round(now() - startedAt),
  };
}

/**
 * Describes in one line how complete and how recent a view is.
 * @example
 * describeCompleteness(view); // 'from 15 of 15 nodes in 21 ms; membership as seen by 10.0.0.4:7100, live members last heard from at most 180 ms ago'
 */
export function describeCompleteness(view: FleetView): string {
  const oldestMs = Math.max(
    0,
    ...(view.tables.get('members') ?? []).filter((m) => m.get('state') === 'live').map((m) => Number(m.get('ageMs'))),
  );
  return `from ${view.queriedNodes - view.silent.length} of ${view.queriedNodes} nodes in ${view.tookMs} ms; membership as seen by ${view.at}, live members last heard from at most ${oldestMs} ms ago${view.silent.length ? `; NO ANSWER from ${view.silent.join(', ')}` : ''}`;
}
