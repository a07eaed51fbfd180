import type { Family, FleetConfig } from '@harecross/schema';

/**
 * What a configuration would change, line by line: patterns that come, go, or get other settings. A pattern stands for its topics;
 * names are labels.
 * @example
 * diff(now, { families: [...now.families, news] }); // ['+ news/* (news)']
 */
export function diff(now: FleetConfig, next: FleetConfig): string[] {
  const settings = ({ topics: _, ...f }: Family): string =>
    JSON.stringify(Object.fromEntries(Object.entries(f).sort()));
  const of = (c: FleetConfig): Map<string, Family> =>
    new Map(c.families.flatMap((f) => f.topics.map((p): [string, Family] => [p, f])));
  const [old, fresh] = [of(now), of(next)];
  const out: string[] = [];
  for (const [p, f] of fresh) {
    const was = old.get(p);
    if (!was) out.push(`+ ${p} (${f.name})`);
    else if (settings(was) !== settings(f))
      out.push(`~ ${p} (${f.name})`, `  - ${settings(was)}`, `  + ${settings(f)}`);
  }
  for (const [p, f] of old) if (!fresh.has(p)) out.push(`- ${p} (${f.name})`);
  const { families: a, ...rest } = now;
  const { families: b, ...others } = next;
  for (const k of new Set([...Object.keys(rest), ...Object.keys(others)]) as Set<keyof typeof rest>) {
    const [was, is] = [JSON.stringify(rest[k]), JSON.stringify(others[k])];
    if (was !== is) out.push(`~ ${k}`, `  - ${was ?? 'not set'}`, `  + ${is ?? 'not set'}`);
  }
  return out;
}
