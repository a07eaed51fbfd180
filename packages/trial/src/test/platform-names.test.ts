import { readFileSync, readdirSync } from 'node:fs';
import { join, relative } from 'node:path';
import { fileURLToPath } from 'node:url';
import { FAULTS } from '@harecross/schema';
import test from 'ava';

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));

type Source = Map<string, string>;

/** Files under a folder, by their place in the repository. */
function sourceUnder(folder: string, keep: (path: string) => boolean): Source {
  const out: Source = new Map();
  const walk = (at: string): void => {
    for (const e of readdirSync(at, { withFileTypes: true })) {
      const path = join(at, e.name);
      if (e.isDirectory()) {
        if (!['node_modules', 'dist', 'test'].includes(e.name)) walk(path);
      } else if (keep(path)) out.set(relative(ROOT, path), readFileSync(path, 'utf8'));
    }
  };
  walk(join(ROOT, folder));
  return out;
}
/** The product: `trial` holds stand-ins and tests alone. */
const product = sourceUnder(
  'packages',
  (p) => /\.(ts|json)$/.test(p) && !p.includes('/packages/trial/') && !p.endsWith('.tsbuildinfo'),
);
const platform = sourceUnder('platform', (p) => p.endsWith('.ts'));

/**
 * The platform's own names: words, causes, paths, fields. Left out: what is ordinary English (`condition`, `host`,
 * `name`, `revision`, `limits`, `zone`), and DELIVER, which is the product's own frame and older than the platform.
 */
const WORDS = [
  'ATTACH',
  'SUBSCRIBE',
  'UNSUBSCR',
  'PUBLISH',
  'ENQUIRE',
  'PROBE',
  'CONFIRM',
  'ACCEPT',
  'TALLY',
  'PROBEACK',
  'REJECT',
  'REDIRECT',
];
const CAUSES = ['CONGEST', 'INDETERM', 'NODOMAIN', 'OVERSIZE', 'MALFORMED', 'EXPIRED'];
const PATHS = [
  '/api/',
  'Configuration.Replace',
  'Configuration.Retrieve',
  'Retire.Begin',
  'Retire.Retrieve',
  'readiness',
  'settings.json',
];
const FIELDS = [
  'client_name',
  'client_key',
  'topic_name',
  'reply_to',
  'subscriber_count',
  'path_prefix',
  'route_type',
  'expiry_ms',
  'target_ms',
  'persistence_s',
  'sequenced',
  'originator',
  'header_max_bytes',
  'body_max_bytes',
  'header_timer_ms',
  'idle_timer_ms',
  'duration_s',
  'in_progress',
  'error_text',
  'in_service',
  'HARECROSS_BOOT',
  'node_name',
  'machine_class',
  'serving_role',
  'ip_address',
  'access_points',
  'internal_ports',
  'seed_nodes',
  'initial_start',
  'loss_counted',
  'cpu_quota',
  'core_count',
  'memory_mb',
  'descriptor_limit',
  'link_mbps',
  'disk_mb',
  'data_directory',
  'discovery_source',
  'entry_type',
  'heartbeat_ms',
  'agreements',
  'fault_tolerance',
  'machine_losses',
  'seed_delay_s',
  'reuse_delay_s',
  'contact_ms',
  'acknowledge_ms',
  'sync_s',
  'drain_ms',
  'grace_s',
  'loss_slack_ms',
  'apply_ms',
  'revert_slack_ms',
  'stretch_max_ms',
  'recovery_s',
  'keepalive_s',
  'reattach_s',
  'retransmit_s',
  'presence_ms',
  'presence_disabled',
  'config_mode',
  'fleetbench',
];

/** The product's own names with an underscore, which the platform's folder translates. */
const OWN = new Set([...FAULTS.keys(), 'cursor_expired', 'hold_ended']);
/** Names with an underscore in the platform's folder: they are the platform's, or the product's faults. */
const fieldsIn = (s: Source): string[] =>
  [...new Set([...s.values()].flatMap((x) => x.match(/\b[a-z]+(?:_[a-z]+)+\b/g) ?? []))].filter((x) => !OWN.has(x));

/** Where the product says a name that is none of its own. */
function namesIn(source: Source, names: string[]): string[] {
  const wanted = names.map((n): [string, RegExp] => [
    n,
    new RegExp(`(?<![A-Za-z_])${n.replace(/[./]/g, '\\$&')}(?![A-Za-z_])`),
  ]);
  // A path may go on behind its beginning.
  const starts = names.filter((n) => n.endsWith('/'));
  return [...source].flatMap(([file, text]) =>
    text
      .split('\n')
      .flatMap((l, i) => [
        ...wanted.filter(([, r]) => r.test(l)).map(([n]) => `${file}:${i + 1}: ${n}`),
        ...starts.filter((n) => l.includes(n)).map((n) => `${file}:${i + 1}: ${n}`),
      ]),
  );
}

test("nothing in the product knows the platform's names", (t) => {
  t.true(product.size > 30 && platform.size === 5);
  const names = [...WORDS, ...CAUSES, ...PATHS, ...FIELDS, ...fieldsIn(platform)];
  t.deepEqual(namesIn(product, names), []);
  // Planted.
  const planted = (line: string): string[] => namesIn(new Map([['edge.ts', `const x = 1;\n${line}\n`]]), names);
  for (const [line, name] of [
    ["if (word === 'ATTACH') return;", 'ATTACH'],
    ['cause = "CONGEST"', 'CONGEST'],
    ['x.path_prefix', 'path_prefix'],
    ["app.post('/api/Configuration.Replace')", 'Configuration.Replace'],
    ['process.env.HARECROSS_BOOT', 'HARECROSS_BOOT'],
    ['// as in readiness', 'readiness'],
    ['s.timers.keepalive_s * 1000', 'keepalive_s'],
  ] as const)
    t.true(
      planted(line).some((x) => x === `edge.ts:2: ${name}`),
      line,
    );
  t.deepEqual(planted("t: 'ATTACHED', expired, attach(), Publish, cursor_expired, rejected"), [], "the product's own");
  t.true(
    fieldsIn(new Map([['x.ts', 'timers: { brand_new_s: 3 }']])).includes('brand_new_s'),
    'names that are new in the folder are looked for too',
  );
});

/** What the folder may take from the product: the edge, the clock, counters, and the reading of configs. */
const MAY_IMPORT = new Map<string, Set<string>>([
  [
    '@harecross/kernel',
    new Set([
      'PROCESS',
      'REQUEST',
      'SESSION',
      'parseAddress',
      'periodicTicks',
      'ErrorDetails',
      'Kernel',
      'validateNodeConfig',
      'NodeConfig',
      'Role',
    ]),
  ],
  ['@harecross/data', new Set(['Edge', 'Message', 'Outgoing', 'Reply', 'Sink', 'runProcess'])],
  // Loaded for its plug-ins, which the product starts by itself; nothing is named.
  ['@harecross/control', new Set()],
]);
const LIBRARIES = /^(node:(net|http|fs)|typebox(\/compile)?|fastify|\.\/(access|boot|lines|main|management)\.js)$/;
const OF_EDGE = new Set(['attach', 'whenServing', 'recordActivity', 'disconnected', 'drained', 'handle', 'ready']);
const OF_KERNEL = new Set(['incrementCounter', 'addSubscription', 'host']);
const OF_HOST = new Set(['clock', 'config']);
/** What would decide by itself: chance, times of its own, state that lasts. */
const DECIDING =
  /Math\.random|Date\.now|performance\.now|\bset(?:Timeout|Interval|Immediate)\b|\bwriteFile\w*|better-sqlite3/g;
/**
 * Characters of code in the folder, all files together, without blanks and comments: 640 lines of 35.5 characters, the
 * mean of the folder before a formatter chose where lines break. Line breaks no longer count.
 */
const CODE_CHARACTERS = 22_700;
const LINE = 140;

const isCode = (line: string): boolean => !/^\s*(\/\/|\/?\*)/.test(line);
const codeCharacters = (s: Source): number =>
  [...s.values()]
    .flatMap((text) => text.split('\n').filter(isCode))
    .reduce((n, line) => n + line.replace(/\s/g, '').length, 0);

/** What in a folder goes beyond names, formats and calls. */
function beyond(source: Source): string[] {
  const out: string[] = [];
  for (const [file, text] of source) {
    const say = (what: string): void => {
      out.push(`${file}: ${what}`);
    };
    for (const [, names, from] of text.matchAll(/^\s*import (?:type )?(?:([^'"]*?) from )?['"]([^'"]+)['"]/gm)) {
      const may = MAY_IMPORT.get(from!);
      if (!may) {
        if (!LIBRARIES.test(from!)) say(`imports ${from}`);
        continue;
      }
      for (const n of (names ?? '')
        .replace(/[{}]/g, '')
        .split(',')
        .map((x) => x.replace(/\btype\b/, '').trim())
        .filter(Boolean)) {
        if (!may.has(n)) say(`imports ${n} of ${from}`);
      }
    }
    for (const [, from] of text.matchAll(/(?:import|require)\(['"]([^'"]+)['"]\)/g))
      if (!LIBRARIES.test(from!)) say(`imports ${from}`);
    const uses = (of: RegExp, may: Set<string>, what: string): void => {
      for (const [, member] of text.matchAll(of)) if (!may.has(member!)) say(`uses ${what}.${member}`);
    };
    uses(/\bedge\.(\w+)/g, OF_EDGE, 'edge');
    uses(/\b(?:k|kernel)\.(\w+)/g, OF_KERNEL, 'kernel');
    uses(/\bhost\.(\w+)/g, OF_HOST, 'host');
    for (const [m] of text.matchAll(DECIDING)) say(`uses ${m}`);
    text.split('\n').forEach((l, i) => {
      if (l.length > LINE) say(`line ${i + 1} has ${l.length} characters`);
    });
  }
  const n = codeCharacters(source);
  if (n > CODE_CHARACTERS) out.push(`${n} characters of code, more than ${CODE_CHARACTERS}`);
  return out;
}

test('platform/ holds names, formats and calls: it is small and reaches for nothing that decides', (t) => {
  t.deepEqual(beyond(platform), []);
  t.log(`${codeCharacters(platform)} characters of code`);
  // Planted.
  const planted = (line: string): string[] => beyond(new Map([...platform, ['platform/src/more.ts', line]]));
  for (const [line, said] of [
    ["import { ConsensusRegister } from '@harecross/control';", 'imports ConsensusRegister of @harecross/control'],
    ["import { Sessions, type Edge } from '@harecross/data';", 'imports Sessions of @harecross/data'],
    ["import { registerPlugin } from '@harecross/kernel';", 'imports registerPlugin of @harecross/kernel'],
    ["import { familyOf } from '@harecross/schema';", 'imports @harecross/schema'],
    ["import Database from 'better-sqlite3';", 'imports better-sqlite3'],
    ["const b = await import('@harecross/state');", 'imports @harecross/state'],
    ["if (k.use('register').hasReadLease()) serve();", 'uses kernel.use'],
    ["kernel.call(peer, 'Fan', {})", 'uses kernel.call'],
    ['edge.sessions.close(c)', 'uses edge.sessions'],
    ['k.host.random.next()', 'uses host.random'],
    ['setTimeout(retry, 500);', 'uses setTimeout'],
    ['if (Math.random() < 0.5) refuse();', 'uses Math.random'],
    ['x'.repeat(141), 'line 1 has 141 characters'],
  ] as const)
    t.true(planted(line).includes(`platform/src/more.ts: ${said}`), `${line}: ${planted(line).join('; ')}`);
  const room = CODE_CHARACTERS - codeCharacters(platform);
  const tooMuch = (out: string[]): boolean => out.some((x) => x.endsWith(`more than ${CODE_CHARACTERS}`));
  t.false(tooMuch(planted('x\n'.repeat(room))), 'as much as there is room for');
  t.true(tooMuch(planted('x\n'.repeat(room + 1))), 'one more');
});
