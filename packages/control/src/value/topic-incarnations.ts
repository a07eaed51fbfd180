import { Patterns, type FleetConfig } from '@harecross/schema';

/**
 * Incarnations by topic pattern. The incarnation of a topic is the configuration version since which some family has contained it
 * without interruption. A topic that was removed and added again is a new incarnation and doesn't expose earlier messages.
 */
export type TopicIncarnations = Map<string, number>;

/**
 * The incarnations after a configuration replaced the previous one. A topic keeps its messages as long as some pattern matches it,
 * regardless of the family's name and of the pattern: a family may be renamed, split or nested in a new one without losing messages. A
 * topic that no pattern matched for even one version starts a new incarnation. A removed pattern is kept only while its topics are
 * matched by a pattern of a later incarnation.
 * @example
 * nextIncarnations(new Map([['a.*', 1]]), { families: [{ topics: ['a.b.*', 'c.*'], ... }] }, 2); // a.b.* 1, c.* 2
 */
export function nextIncarnations(before: TopicIncarnations, config: FleetConfig, version: number): TopicIncarnations {
  const patterns = config.families.flatMap((f) => f.topics);
  const previous = new Patterns(before);
  const configured = new Patterns(patterns.map((p): [string, true] => [p, true]));
  const all = new Map<string, number>();
  for (const p of [...before.keys(), ...patterns])
    if (valueAt(configured, p)) all.set(p, valueAt(previous, p) ?? version);
  const lookup = new Patterns(all);
  return new Map([...all].filter(([p, incarnation]) => enclosingValue(lookup, p) !== incarnation));
}

const prefixOf = (pattern: string): string | undefined => (pattern.endsWith('*') ? pattern.slice(0, -1) : undefined);

/** The value that applies to the topics of a pattern. */
function valueAt<T>(patterns: Patterns<T>, pattern: string): T | undefined {
  const prefix = prefixOf(pattern);
  return prefix === undefined ? patterns.find(pattern) : patterns.within(prefix);
}

/** The value that would apply to the topics of a pattern without the pattern itself. */
function enclosingValue<T>(patterns: Patterns<T>, pattern: string): T | undefined {
  const prefix = prefixOf(pattern);
  if (prefix === '') return undefined;
  return patterns.within(prefix === undefined ? pattern : prefix.slice(0, -1));
}

const lookups = new WeakMap<TopicIncarnations, Patterns<number>>();

/**
 * The version since which a topic has existed without interruption. Meaningful only for topics that a family contains.
 * @example
 * incarnationOf(register.value!.incarnations, 'pay/77'); // 4
 */
export function incarnationOf(incarnations: TopicIncarnations, topic: string): number | undefined {
  let lookup = lookups.get(incarnations);
  if (!lookup) {
    lookup = new Patterns(incarnations);
    lookups.set(incarnations, lookup);
  }
  return lookup.find(topic);
}
