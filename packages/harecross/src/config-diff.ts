import type { Family, FleetConfig } from '@harecross/schema';

/**
 * Lists the differences between two configurations, one line each: topic patterns that are added, removed or get other settings. Families
 * are compared by topic pattern, not by name, because a name is only a label.
 * @example
 * diffConfig(current, { families: [...current.families, news] }); // ['+ news/* (news)']
 */
export function diffConfig(current: FleetConfig, next: FleetConfig): string[] {
  const settings = (f: Family): string => {
    const fields = (Object.keys(f) as (keyof Family)[]).filter((field) => field !== 'topics').sort();
    return JSON.stringify(Object.fromEntries(fields.map((field) => [field, f[field]])));
  };
  const byPattern = (c: FleetConfig): Map<string, Family> =>
    new Map(c.families.flatMap((f) => f.topics.map((pattern): [string, Family] => [pattern, f])));
  const [before, after] = [byPattern(current), byPattern(next)];
  const lines: string[] = [];
  for (const [pattern, family] of after) {
    const old = before.get(pattern);
    if (!old) lines.push(`+ ${pattern} (${family.name})`);
    else if (settings(old) !== settings(family))
      lines.push(`~ ${pattern} (${family.name})`, `  - ${settings(old)}`, `  + ${settings(family)}`);
  }
  for (const [pattern, family] of before) if (!after.has(pattern)) lines.push(`- ${pattern} (${family.name})`);
  for (const k of new Set([...Object.keys(current), ...Object.keys(next)]) as Set<keyof FleetConfig>) {
    if (k === 'families') continue;
    const [oldValue, newValue] = [JSON.stringify(current[k]), JSON.stringify(next[k])];
    if (oldValue !== newValue) lines.push(`~ ${k}`, `  - ${oldValue ?? 'not set'}`, `  + ${newValue ?? 'not set'}`);
  }
  return lines;
}
