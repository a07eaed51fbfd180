import { Patterns, type FleetConfig } from '@harecross/schema';

/** A topic's era is the version since which it has been there without a break. Regions of topics, by pattern, with their eras. */
export type Eras = Map<string, number>;

/**
 * The eras after a configuration took the place of the one before. What a topic keeps follows from its being there, whatever its family
 * is called and whichever pattern it is found by: a family may be renamed, cut into two or lie inside a new one, and its topics lose
 * nothing. A topic that no pattern held for even one version begins anew. Patterns that are gone stay as regions only where what holds
 * their topics now is younger than they are.
 * @example
 * erasAfter(new Map([['a.*', 1]]), { families: [{ topics: ['a.b.*', 'c.*'], ... }] }, 2); // a.b.* 1, c.* 2
 */
export function erasAfter(before: Eras, config: FleetConfig, version: number): Eras {
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

const tables = new WeakMap<Eras, Patterns<number>>();

/**
 * Since which version a topic has been there without a break. Only for topics that a family holds.
 * @example
 * eraOf(reg.value!.eras, 'pay/77'); // 4
 */
export function eraOf(eras: Eras, topic: string): number | undefined {
  let t = tables.get(eras);
  if (!t) {
    t = new Patterns(eras);
    tables.set(eras, t);
  }
  return t.find(topic);
}
