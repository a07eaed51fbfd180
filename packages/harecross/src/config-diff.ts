import type { Family, FleetConfig } from '@harecross/schema';

/**
 * What a configuration would change, line by line: patterns that come, go, or get other settings. A pattern stands for its topics;
 * names are labels.
 * @example
 * diff(now, { families: [...now.families, news] }); // ['+ news/* (news)']
 */
export function diffConfig(now: FleetConfig, next: FleetConfig): string[] {
  const settings = (f: Family): string => {
    const names = (Object.keys(f) as (keyof Family)[]).filter((name) => name !== 'topics').sort();
    return JSON.stringify(Object.fromEntries(names.map((name) => [name, f[name]])));
  };
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
  for (const k of new Set([...Object.keys(now), ...Object.keys(next)]) as Set<keyof FleetConfig>) {
    if (k === 'families') continue;
    const [was, is] = [JSON.stringify(now[k]), JSON.stringify(next[k])];
    if (was !== is) out.push(`~ ${k}`, `  - ${was ?? 'not set'}`, `  + ${is ?? 'not set'}`);
  }
  return out;
}
