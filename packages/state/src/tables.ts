/** The tables on disk. Each row has a checksum of its columns, so that a flipped bit is detected instead of changing a message. */
import { registerIntegrityCheck, type Sql } from '@harecross/kernel';
import { crc32 } from 'node:zlib';

/** A table: its columns with their types, and its primary key. The names are part of the format on disk and must not change. */
interface TableSpec {
  name: string;
  columns: string[];
  key: string;
  /** Whether the table has SQLite's implicit row ids; otherwise it is created `without rowid`. */
  rowId?: true;
}

/** The tables of a node's durable state. */
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

/**
 * Indexes of the entries: by topic, to read a topic's messages from an offset on, and by sender, to find the outcome of a sequence number.
 * They are checked against the table when the database is opened.
 */
const INDEXES = `
create index if not exists entry_by_topic on entry (shard, topic, era, off);
create index if not exists entry_by_sender on entry (shard, topic, sender, seq);
`;

/** The checksum of a row. */
export const checksumOf = (columns: unknown[]): number => crc32(columns.join('\0'));

/** The names of a table's columns, without the checksum. Throws if there is no such table. */
export function columnNames(table: string): string[] {
  const spec = TABLES.find(({ name }) => name === table);
  if (!spec) throw new Error(`no such table: ${table}`);
  return columnNamesOf(spec);
}

const columnNamesOf = (spec: TableSpec): string[] => spec.columns.map((column) => column.split(' ')[0]!);

/** The columns that a table has in this database. */
const columnsOnDisk = (sql: Sql, table: string): string[] =>
  (sql.pragma(`table_info(${table})`) as { name: string }[]).map((column) => column.name);

/** Creates missing tables and indexes, and adds the checksum column to tables of earlier versions. */
export function createTables(sql: Sql): void {
  sql.exec(TABLES.map(createStatement).join('\n'));
  sql.exec(INDEXES);
  // Tables created before rows had checksums: their existing rows get none and are accepted unchecked.
  for (const { name } of TABLES)
    if (!columnsOnDisk(sql, name).includes('sum')) sql.exec(`alter table ${name} add column sum integer`);
}

function createStatement({ name, columns, key, rowId }: TableSpec): string {
  const suffix = rowId ? '' : ' without rowid';
  return `create table if not exists ${name} (${columns.join(', ')}, sum integer, primary key (${key}))${suffix};`;
}

/** Describes the first row whose checksum does not match its columns; undefined if there is none. */
function findCorruptRow(sql: Sql): string | undefined {
  for (const spec of TABLES) {
    const { name, key } = spec;
    const onDisk = columnsOnDisk(sql, name);
    if (!onDisk.includes('sum')) continue;
    const statement = sql.prepare(`select ${columnNamesOf(spec).join(', ')}, sum from ${name}`);
    for (const row of statement.raw().iterate() as Iterable<unknown[]>) {
      const sum = row.pop();
      if (sum === null || sum === checksumOf(row)) continue;
      const id = row.slice(0, key.split(', ').length).join(', ');
      return `checksum mismatch in a row of ${name} (${key}: ${id})`;
    }
  }
  return undefined;
}

registerIntegrityCheck(findCorruptRow);
