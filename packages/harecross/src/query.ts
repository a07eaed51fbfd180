/** A table cell, a row, and a query on rows. */
export type Cell = string | number | boolean | undefined;
export type Row = Map<string, Cell>;
type Op = '=' | '!=' | '<' | '<=' | '>' | '>=' | '~';

export interface Query {
  formatTable: string;
  where: { field: string; op: Op; value: string }[];
  sort: { field: string; desc: boolean }[];
  show: string[];
  limit: number;
}

export type ParseResult = { tag: 'query'; query: Query } | { tag: 'wrong'; why: string };

const OPS: Op[] = ['<=', '>=', '!=', '=', '<', '>', '~'];
const WORDS = new Set(['where', 'and', 'sort', 'show', 'limit']);

/** Words, operators and quoted strings of a line. */
function tokens(line: string): string[] {
  const out: string[] = [];
  const re = /"([^"]*)"|(<=|>=|!=|=|<|>|~)|([^\s<>=!~"]+)|(\S)/g;
  for (const m of line.matchAll(re)) out.push(m[1] ?? m[2] ?? m[3] ?? m[4]!);
  return out;
}

/**
 * Reads a query: `table [where field op value and ...] [sort field [desc], ...] [show field, ...] [limit n]`.
 * @example
 * parse('keys where behind > 0 sort shard'); // { tag: 'query', query: { table: 'keys', ... } }
 */
export function parseQuery(line: string): ParseResult {
  const wrong = (why: string): ParseResult => ({ tag: 'wrong', why });
  const ts = tokens(line.replaceAll(',', ' '));
  const table = ts.shift();
  if (!table) return wrong('name a table');
  const q: Query = { formatTable: table, where: [], sort: [], show: [], limit: Infinity };
  while (ts.length) {
    const w = ts.shift()!;
    switch (w) {
      case 'where':
      case 'and': {
        const [field, op, value] = ts.splice(0, 3);
        if (!field || !OPS.includes(op as Op) || value === undefined)
          return wrong(`after '${w}' comes: field op value, with op one of ${OPS.join(' ')}`);
        q.where.push({ field, op: op as Op, value });
        break;
      }
      case 'sort':
        while (ts.length && !WORDS.has(ts[0]!)) {
          const field = ts.shift()!;
          const desc = ts[0] === 'desc';
          if (desc || ts[0] === 'asc') ts.shift();
          q.sort.push({ field, desc });
        }
        if (!q.sort.length) return wrong("after 'sort' comes a field");
        break;
      case 'show':
        while (ts.length && !WORDS.has(ts[0]!)) q.show.push(ts.shift()!);
        if (!q.show.length) return wrong("after 'show' comes a field");
        break;
      case 'limit': {
        const n = Number(ts.shift());
        if (!Number.isInteger(n) || n < 0) return wrong("after 'limit' comes a whole number");
        q.limit = n;
        break;
      }
      default:
        return wrong(`'${w}' is not understood; one of ${[...WORDS].join(', ')}`);
    }
  }
  return { tag: 'query', query: q };
}

/** Order of two texts by code units: negative, zero or positive. */
function compareText(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

function holds(c: Cell, op: Op, value: string): boolean {
  const s = c === undefined ? '' : String(c);
  const n = Number(value);
  const d = typeof c === 'number' && !Number.isNaN(n) ? c - n : compareText(s, value);
  switch (op) {
    case '=':
      return d === 0;
    case '!=':
      return d !== 0;
    case '<':
      return d < 0;
    case '<=':
      return d <= 0;
    case '>':
      return d > 0;
    case '>=':
      return d >= 0;
    case '~':
      return s.includes(value);
  }
}

export type QueryResult = { tag: 'rows'; fields: string[]; rows: Row[] } | { tag: 'wrong'; why: string };

/**
 * Runs a query on the rows of its table.
 * @example
 * answer(query, [new Map([['shard', 1]])]); // { tag: 'rows', fields: ['shard'], rows: [...] }
 */
export function runQuery(q: Query, rows: Row[]): QueryResult {
  const fields = [...new Set(rows.flatMap((r) => [...r.keys()]))];
  const unknown = [...q.where, ...q.sort]
    .map((x) => x.field)
    .concat(q.show)
    .find((f) => !fields.includes(f));
  if (unknown !== undefined && rows.length)
    return { tag: 'wrong', why: `no field '${unknown}' in ${q.formatTable}; there are: ${fields.join(', ')}` };
  const out = rows.filter((r) => q.where.every((w) => holds(r.get(w.field), w.op, w.value)));
  out.sort((a, b) => {
    for (const s of q.sort) {
      const x = a.get(s.field),
        y = b.get(s.field);
      const d = typeof x === 'number' && typeof y === 'number' ? x - y : String(x ?? '').localeCompare(String(y ?? ''));
      if (d) return s.desc ? -d : d;
    }
    return 0;
  });
  return { tag: 'rows', fields: q.show.length ? q.show : fields, rows: out.slice(0, q.limit) };
}

/**
 * Rows as an aligned table.
 * @example
 * table(['a'], [new Map([['a', 1]])]); // 'a\n1\n'
 */
export function table(fields: string[], rows: Row[]): string {
  const cell = (c: Cell): string => (c === undefined ? '-' : String(c));
  const wide = fields.map((f) => Math.max(f.length, ...rows.map((r) => cell(r.get(f)).length)));
  const line = (xs: string[]): string =>
    xs
      .map((x, i) => x.padEnd(wide[i]!))
      .join('  ')
      .trimEnd() + '\n';
  return line(fields) + rows.map((r) => line(fields.map((f) => cell(r.get(f))))).join('');
}
