/** The tables on disk. Every row has a checksum over its columns, so that a flipped bit is no altered message. */
import { registerIntegrityCheck, type Sql } from '@harecross/kernel';
import { crc32 } from 'node:zlib';

/** A table: its columns with their types, and its primary key. Names on disk: they stay. */
interface TableSpec {
  name: string;
  columns: string[];
  key: string;
  /** Whether its rows are kept under a row id of SQLite's own. */
  rowId?: true;
}

/** The tables of a node's lasting state. */
export const TABLES: readonly TableSpec[] = [
  { name: 'meta', columns: ['k text', 'v text not null'], key: 'k' },
  {
    name: 'copy',
    columns: ['shard integer', 'promised text not null', 'idx integer not null', 'fence text not null'],
    key: 'shard',
    rowId: true,
  },
  {
    name: 'entry',
    columns: [
      'shard integer',
      'idx integer',
      'fence text',
      'topic text',
      'off integer',
      'era integer',
      'sender text',
      'seq integer',
      'body text',
      'at real',
    ],
    key: 'shard, idx',
  },
  {
    name: 'topic',
    columns: ['shard integer', 'topic text', 'head integer', 'since integer', 'era integer'],
    key: 'shard, topic',
  },
  {
    name: 'sender',
    columns: ['shard integer', 'k text', 'seq integer', 'off integer', 'at real'],
    key: 'shard, k',
  },
];

/** The checksum of a row. */
export const checksumOf = (columns: unknown[]): number => crc32(columns.join('\0'));

/** The names of a table's columns, without the checksum. Throws for a table that there is not. */
export function columnNames(table: string): string[] {
  const spec = TABLES.find(({ name }) => name === table);
  if (!spec) throw new Error(`no table ${table}`);
  return namesIn(spec);
}

const namesIn = (spec: TableSpec): string[] => spec.columns.map((column) => column.split(' ')[0]!);

/** The columns that a table has on this disk. */
const columnsOnDisk = (sql: Sql, table: string): string[] =>
  (sql.pragma(`table_info(${table})`) as { name: string }[]).map((column) => column.name);

/** Makes the tables that are missing, and adds what earlier versions did not have. */
export function createTables(sql: Sql): void {
  sql.exec(TABLES.map(createStatement).join('\n'));
  // Made before rows had checksums: theirs are missing, and they are taken as they are.
  for (const { name } of TABLES)
    if (!columnsOnDisk(sql, name).includes('sum')) sql.exec(`alter table ${name} add column sum integer`);
}

function createStatement({ name, columns, key, rowId }: TableSpec): string {
  const suffix = rowId ? '' : ' without rowid';
  return `create table if not exists ${name} (${columns.join(', ')}, sum integer, primary key (${key}))${suffix};`;
}

/** A row whose checksum is not that of its columns, in words; undefined where there is none. */
function findAlteredRow(sql: Sql): string | undefined {
  for (const spec of TABLES) {
    const { name, key } = spec;
    const onDisk = columnsOnDisk(sql, name);
    if (!onDisk.includes('sum')) continue;
    const statement = sql.prepare(`select ${namesIn(spec).join(', ')}, sum from ${name}`);
    for (const row of statement.raw().iterate() as Iterable<unknown[]>) {
      const sum = row.pop();
      if (sum === null || sum === checksumOf(row)) continue;
      const id = row.slice(0, key.split(', ').length).join(', ');
      return `a row of ${name} was altered (${key}: ${id})`;
    }
  }
  return undefined;
}

registerIntegrityCheck(findAlteredRow);
