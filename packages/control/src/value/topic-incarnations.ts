import { Patterns, type FleetConfig } from '@harecross/schema';

/**
 * Incarnations by topic pattern. The incarnation of a topic is the configuration version since which some family has held it without a
 * gap; a topic that was removed and added again is another incarnation and shows none of the earlier messages.
 */
export type TopicIncarnations = Map<string, number>;

/**
 * The incarnations after a configuration replaced the one before. What a topic keeps follows from its being there, whatever its family
 * is called and whichever pattern it is found by: a family may be renamed, cut into two or lie inside a new one, and its topics lose
 * nothing. A topic that no pattern held for even one version begins anew. Patterns that are gone stay as regions only where what holds
 * their topics now is younger than they are.
 * @example
 * incarnationsAfter(new Map([['a.*', 1]]), { families: [{ topics: ['a.b.*', 'c.*'], ... }] }, 2); // a.b.* 1, c.* 2
 */
export function nextIncarnations(before: TopicIncarnations, config: FleetConfig, version: number): TopicIncarnations {
  const patterns = config.families.flatMap((f) => f.topics);
  const had = new Patterns(before);
  const has = new Patterns(patterns.map((p): [string, true] => [p, true]));
  const all = new Map<string, number>();
  for (const p of [...before.keys(), ...patterns]) if (at(has, p)) all.set(p, at(had, p) ?? version);
  const found = new Patterns(all);
  return new Map([...all].filter(([p, era]) => around(found, p) !== era));
}

const prefixOf = (p: string): string | undefined => (p.endsWith('*') ? p.slice(0, -1) : undefined);

/** What holds at a region's own topics. */
function at<T>(x: Patterns<T>, pattern: string): T | undefined {
  const prefix = prefixOf(pattern);
  return prefix === undefined ? x.find(pattern) : x.within(prefix);
}

/** What would hold there without the region itself. */
function around<T>(x: Patterns<T>, pattern: string): T | undefined {
  const prefix = prefixOf(pattern);
  if (prefix === '') return undefined;
  return x.within(prefix === undefined ? pattern : prefix.slice(0, -1));
}

const tables = new WeakMap<TopicIncarnations, Patterns<number>>();

/**
 * Since which version a topic has been there without a break. Only for topics that a family holds.
 * @example
 * incarnationOf(register.value!.incarnations, 'pay/77'); // 4
 */
export function incarnationOf(incarnations: TopicIncarnations, topic: string): number | undefined {
  let t = tables.get(incarnations);
  if (!t) {
    t = new Patterns(incarnations);
    tables.set(incarnations, t);
  }
  return t.find(topic);
}
