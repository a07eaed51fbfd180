/** A value in a table; undefined if the row has no such value. */
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
const KEYWORDS = new Set(['where', 'and', 'sort', 'show', 'limit']);

/** Splits a line into words, operators and quoted strings. */
function tokenize(line: string): string[] {
  const tokens: string[] = [];
  const pattern = /"([^"]*)"|(<=|>=|!=|=|<|>|~)|([^\s<>=!~"]+)|(\S)/g;
  for (const m of line.matchAll(pattern)) tokens.push(m[1] ?? m[2] ?? m[3] ?? m[4]!);
  return tokens;
}

/**
 * Parses a query: `table [where field op value and ...] [sort field [desc], ...] [show field, ...] [limit n]`.
 * @example
 * parseQuery('keys where behind > 0 sort shard'); // { tag: 'query', query: { table: 'keys', ... } }
 */
export function parseQuery(line: string): ParseResult {
  const wrong = (why: string): ParseResult => ({ tag: 'wrong', why });
  const tokens = tokenize(line.replaceAll(',', ' '));
  const table = tokens.shift();
  if (!table) return wrong('name a table');
  const query: Query = { formatTable: table, where: [], sort: [], show: [], limit: Infinity };
  while (tokens.length) {
    const keyword = tokens.shift()!;
    switch (keyword) {
      case 'where':
      case 'and': {
        const [field, op, value] = tokens.splice(0, 3);
        if (!field || !OPS.includes(op as Op) || value === undefined)
          return wrong(`after '${keyword}' comes: field op value, with op one of ${OPS.join(' ')}`);
        query.where.push({ field, op: op as Op, value });
        break;
      }
      case 'sort':
        while (tokens.length && !KEYWORDS.has(tokens[0]!)) {
          const field = tokens.shift()!;
          const desc = tokens[0] === 'desc';
          if (desc || tokens[0] === 'asc') tokens.shift();
          query.sort.push({ field, desc });
        }
        if (!query.sort.length) return wrong("after 'sort' comes a field");
        break;
      case 'show':
        while (tokens.length && !KEYWORDS.has(tokens[0]!)) query.show.push(tokens.shift()!);
        if (!query.show.length) return wrong("after 'show' comes a field");
        break;
      case 'limit': {
        const n = Number(tokens.shift());
        if (!Number.isInteger(n) || n < 0) return wrong("after 'limit' comes a whole number");
        query.limit = n;
        break;
      }
      default:
        return wrong(`'${keyword}' is not understood; one of ${[...KEYWORDS].join(', ')}`);
    }
  }
  return { tag: 'query', query };
}

/** Compares two strings by UTF-16 code units; negative, zero or positive. */
function compareText(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

/** Whether a cell satisfies a condition: compared as numbers if both sides are, otherwise as text. */
function matches(cell: Cell, op: Op, value: string): boolean {
  const text = cell === undefined ? '' : String(cell);
  const n = Number(value);
  const d = typeof cell === 'number' && !Number.isNaN(n) ? cell - n : compareText(text, value);
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
      return text.includes(value);
  }
}

export type QueryResult = { tag: 'rows'; fields: string[]; rows: Row[] } | { tag: 'wrong'; why: string };

/**
 * Runs a query on the rows of its table.
 * @example
 * runQuery(query, [new Map([['shard', 1]])]); // { tag: 'rows', fields: ['shard'], rows: [...] }
 */
export function runQuery(query: Query, rows: Row[]): QueryResult {
  const fields = [...new Set(rows.flatMap((r) => [...r.keys()]))];
  const unknown = [...query.where, ...query.sort]
    .map((x) => x.field)
    .concat(query.show)
    .find((f) => !fields.includes(f));
  if (unknown !== undefined && rows.length)
    return { tag: 'wrong', why: `no field '${unknown}' in ${query.formatTable}; there are: ${fields.join(', ')}` };
  const result = rows.filter((r) => query.where.every((w) => matches(r.get(w.field), w.op, w.value)));
  result.sort((a, b) => {
    for (const s of query.sort) {
      const x = a.get(s.field),
        y = b.get(s.field);
      const d = typeof x === 'number' && typeof y === 'number' ? x - y : String(x ?? '').localeCompare(String(y ?? ''));
      if (d) return s.desc ? -d : d;
    }
    return 0;
  });
  return { tag: 'rows', fields: query.show.length ? query.show : fields, rows: result.slice(0, query.limit) };
}

/**
 * Formats rows as a table with aligned columns.
 * @example
 * formatTable(['a'], [new Map([['a', 1]])]); // 'a\n1\n'
 */
export function formatTable(fields: string[], rows: Row[]): string {
  const format = (cell: Cell): string => (cell === undefined ? '-' : String(cell));
  const widths = fields.map((f) => Math.max(f.length, ...rows.map((r) => format(r.get(f)).length)));
  const line = (xs: string[]): string =>
    xs
      .map((x, i) => x.padEnd(widths[i]!))
      .join('  ')
      .trimEnd() + '\n';
  return line(fields) + rows.map((r) => line(fields.map((f) => format(r.get(f))))).join('');
}
