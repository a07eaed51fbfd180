#!/usr/bin/env node
import { readFileSync, writeFileSync } from 'node:fs';
import { VERSION } from '@harecross/kernel';
import { configFaults, type Answer, type FleetConfig, type Method, type Visit } from '@harecross/schema';
import { createInterface } from 'node:readline/promises';
import yargs from 'yargs';
import { callFleet, newChangeId, post } from './fleet-client.js';
import { diffConfig } from './config-diff.js';
import { solvePlacement, findPlanViolations, type Constraints } from './placement-solver.js';
import { runQuery, parseQuery, table, type Row } from './query.js';
import { fetchFleetView, TABLES, describeCompleteness, type FleetView } from './fleet-view.js';

/** Exit codes: 0 done, 1 rejected by the fleet, 2 wrong use, 3 no answer. */
/** Seconds to go on trying while the fleet is not ready; set by --wait. */
let waitS = 10;
const out = (x: unknown): void => {
  process.stdout.write(JSON.stringify(x, null, 2) + '\n');
};
const fail = (code: number, line: string): never => {
  process.stderr.write(`harecross: ${line}\n`);
  process.exit(code);
};

/** A request at the first node that serves it; ends the process where none did. */
async function rpc<M extends Method>(at: string[], method: M, body: Visit<M>, limitMs = 10_000): Promise<Answer<M>> {
  const outcome = await callFleet(
    { post, now: () => performance.now(), pause: (ms) => new Promise((res) => setTimeout(res, ms)) },
    { at, method, body, timeoutMs: limitMs, retryForMs: waitS * 1000 },
  );
  switch (outcome.tag) {
    case 'done':
      return outcome.body as Answer<M>;
    case 'no_answer':
      return fail(3, `no answer (${outcome.last})`);
    case 'unclear':
      return fail(3, `${method} may have been carried out and is not sent again by itself (${outcome.last})`);
    case 'rejected': {
      const e = outcome.error;
      for (const f of e.faults ?? []) process.stderr.write(`  ${f.path}: ${f.fault}\n`);
      const detail = e.detail ? `: ${e.detail}` : '';
      const version = e.version === undefined ? '' : `: version ${e.version} is in force`;
      return fail(1, `${e.tag ?? outcome.status} at ${e.step} (${e.peer})${detail}${version}`);
    }
  }
}

function readJson(file: string): unknown {
  try {
    return JSON.parse(readFileSync(file, 'utf8'));
  } catch (e) {
    return fail(2, `${file}: ${e instanceof Error ? e.message : String(e)}`);
  }
}

/** One visit that may fail without ending us. */
async function quiet<M extends Method>(client: string, method: M, body: Visit<M>): Promise<Answer<M> | undefined> {
  try {
    const r = await post(client, method, body, 3_000);
    return r.status === 200 ? (r.body as Answer<M>) : undefined;
  } catch {
    return undefined;
  }
}

const HELP = `table [where field op value [and ...]] [sort field [desc] ...] [show field ...] [limit n]
tables: ${TABLES.join(', ')}
op: = != < <= > >= ~ (contains); every answer looks anew; 'fields TABLE' lists fields; 'exit' leaves
`;

/** Answers one line of the shell; gives whether it was understood. */
async function query(addresses: string[], line: string, json: boolean): Promise<boolean> {
  const p = parseQuery(line.startsWith('fields ') ? line.slice(7) : line);
  if (p.tag === 'wrong') {
    process.stderr.write(`${p.why}\n`);
    return false;
  }
  if (!(TABLES as readonly string[]).includes(p.query.formatTable)) {
    process.stderr.write(`no table '${p.query.formatTable}'; there are: ${TABLES.join(', ')}\n`);
    return false;
  }
  const v: FleetView | undefined = await fetchFleetView(addresses, quiet, () => performance.now());
  if (!v) return fail(3, `no answer from ${addresses.join(', ')}`);
  const r = runQuery(p.query, v.tables.get(p.query.formatTable)!);
  if (r.tag === 'wrong') {
    process.stderr.write(`${r.why}\n`);
    return false;
  }
  if (line.startsWith('fields ')) {
    process.stdout.write(`${r.fields.join(' ')}\n`);
    return true;
  }
  const plain = (x: Row): object => Object.fromEntries(r.fields.map((f) => [f, x.get(f)]));
  if (json) out({ rows: r.rows.map(plain), nodes: v.queriedNodes, silent: v.silent, tookMs: v.tookMs });
  else process.stdout.write(`${table(r.fields, r.rows)}${r.rows.length} rows, ${describeCompleteness(v)}\n`);
  return true;
}

const at = (a: { at: string }): string[] => a.at.split(',');

await yargs(process.argv.slice(2))
  .scriptName('harecross')
  .usage('$0 <command>\n\nOperates a harecross fleet.')
  .option('at', {
    type: 'string',
    demandOption: true,
    describe: 'client addresses of one or more nodes, comma between',
  })
  .option('wait', { type: 'number', default: 10, describe: 'seconds to go on trying while the fleet is not ready' })
  .middleware((a) => {
    waitS = a.wait;
  })
  .command(
    'submit <file>',
    'take a configuration',
    (y) =>
      y
        .positional('file', { type: 'string', demandOption: true })
        .option('change-id', { type: 'string', describe: 'name of this change; sending it again changes nothing' })
        .option('expect', { type: 'number', describe: 'only if this version is in force', conflicts: 'revision' })
        .option('revision', { type: 'number', describe: 'your own number of it: the highest that anybody sent holds' })
        .option('document', {
          type: 'string',
          describe: 'JSON file with your own words for it, kept and given back by read',
        })
        .option('dry-run', { type: 'boolean', default: false, describe: 'check it and show what would change' }),
    async (a) => {
      const config = readJson(a.file) as FleetConfig;
      const faults = configFaults(config);
      if (faults.length) {
        for (const f of faults) process.stderr.write(`  ${f.path}: ${f.fault}\n`);
        fail(1, `${a.file}: invalid configuration`);
      }
      if (a.dryRun) {
        const now = await rpc(at(a), 'ReadConfig', {});
        const told = now.revision === undefined ? '' : `, revision ${now.revision}`;
        if (a.revision !== undefined && a.revision <= (now.revision ?? -1))
          process.stdout.write(`revision ${a.revision} is not above the one in force: it would change nothing\n`);
        else for (const line of diffConfig(now.config as FleetConfig, config)) process.stdout.write(`${line}\n`);
        process.stdout.write(`against version ${now.version}${told}; nothing was changed\n`);
        return;
      }
      if (a.revision !== undefined && !(Number.isSafeInteger(a.revision) && a.revision >= 0))
        fail(2, '--revision: must be an integer of 0 or more');
      const document = a.document === undefined ? {} : { document: readJson(a.document) };
      if (a.revision !== undefined) {
        // The same revision may be sent again at any node: a silent one is left soon.
        const b = {
          revision: a.revision,
          ...document,
          config,
          ...(a.changeId === undefined ? {} : { changeId: a.changeId }),
        };
        const r = await rpc(at(a), 'SubmitConfig', b, 2_000);
        if (r.revision !== undefined && r.revision > a.revision)
          process.stderr.write(
            `harecross: revision ${r.revision} is in force; ${a.revision} is below it and changes nothing (${r.outcome})\n`,
          );
        out(r);
        return;
      }
      const changeId = a.changeId ?? newChangeId('cli');
      out({
        changeId,
        ...(await rpc(at(a), 'SubmitConfig', {
          changeId,
          config,
          ...document,
          ...(a.expect === undefined ? {} : { expect: a.expect }),
        })),
      });
    },
  )
  .command(
    'read',
    'the configuration in force, confirmed by a majority',
    (y) => y,
    async (a) => out(await rpc(at(a), 'ReadConfig', {})),
  )
  .command(
    'query <words..>',
    'one query on the state of the fleet',
    (y) =>
      y
        .positional('words', { type: 'string', array: true, demandOption: true })
        .option('json', { type: 'boolean', default: false })
        .epilogue(HELP),
    async (a) => {
      if (!(await query(at(a), a.words!.join(' '), a.json))) process.exit(2);
    },
  )
  .command(
    'shell',
    'queries on the state of the fleet, line by line',
    (y) => y.option('json', { type: 'boolean', default: false }),
    async (a) => {
      const rl = createInterface({
        input: process.stdin,
        output: process.stdout,
        prompt: 'harecross> ',
        terminal: process.stdin.isTTY === true,
      });
      if (process.stdin.isTTY) process.stdout.write(HELP);
      rl.prompt();
      for await (const l of rl) {
        const line = l.trim();
        if (line === 'exit' || line === 'quit') break;
        if (line === 'help') process.stdout.write(HELP);
        else if (line) await query(at(a), line, a.json);
        rl.prompt();
      }
      rl.close();
    },
  )
  .command(
    'empty <disk>',
    'move copies and keys off a disk',
    (y) =>
      y
        .positional('disk', { type: 'string', demandOption: true })
        .option('change-id', { type: 'string', describe: 'name of this order; sending it again changes nothing' }),
    async (a) => out(await rpc(at(a), 'EmptyDisk', { disk: a.disk, changeId: a.changeId ?? newChangeId('cli') })),
  )
  .command(
    'empty-status <disk>',
    'how far an emptying has come',
    (y) => y.positional('disk', { type: 'string', demandOption: true }),
    async (a) => out(await rpc(at(a), 'EmptyStatus', { disk: a.disk })),
  )
  .command(
    'cancel-empty <disk>',
    'take an emptying back',
    (y) =>
      y
        .positional('disk', { type: 'string', demandOption: true })
        .option('change-id', { type: 'string', describe: 'name of this order; sending it again changes nothing' }),
    async (a) => out(await rpc(at(a), 'CancelEmpty', { disk: a.disk, changeId: a.changeId ?? newChangeId('cli') })),
  )
  .command(
    'plan <file>',
    'replace the calendar of planned moves',
    (y) =>
      y
        .positional('file', { type: 'string', demandOption: true })
        .option('change-id', { type: 'string' })
        .option('expect', { type: 'number', describe: 'only if this version is in force' }),
    async (a) => {
      const changeId = a.changeId ?? newChangeId('cli');
      out({
        changeId,
        ...(await rpc(at(a), 'PlanMoves', {
          changeId,
          moves: readJson(a.file) as Visit<'PlanMoves'>['moves'],
          ...(a.expect === undefined ? {} : { expect: a.expect }),
        })),
      });
    },
  )
  .command(
    'place <file>',
    'solve where copies go from a constraint file, show the plan, and write or apply it',
    (y) =>
      y
        .positional('file', { type: 'string', demandOption: true })
        .option('out', {
          type: 'string',
          describe: 'write the whole configuration with the placement here, for submit --expect',
        })
        .option('apply', {
          type: 'boolean',
          default: false,
          describe: 'submit it, if the configuration it was made from is still in force',
        }),
    async (a) => {
      const [fleet, was] = [await rpc(at(a), 'Fleet', {}), await rpc(at(a), 'ReadConfig', {})];
      const disks = fleet.disks.filter((d) => d.state === 'active');
      const peer = new Map<string, string>(fleet.disks.map((d) => [d.id, d.peer]));
      const now = new Map<number, string[]>(
        fleet.keys.map((k) => [k.shard, k.copies.map((d: string) => peer.get(d) ?? d)]),
      );
      const constraints = readJson(a.file);
      const r = solvePlacement(constraints, disks, now);
      switch (r.tag) {
        case 'wrong':
          for (const f of r.faults) process.stderr.write(`  ${f}\n`);
          return fail(2, `${a.file}: invalid constraints`);
        case 'conflict':
          for (const f of r.between) process.stderr.write(`  ${f}\n`);
          return fail(1, 'no placement satisfies these constraints together; leaving out any one of them would do');
        case 'plan': {
          const bad = findPlanViolations(constraints as Constraints, disks, r.plan.placement);
          if (bad.length) return fail(1, `the solver's plan is wrong: ${bad[0]}`);
          const weight = (m: Iterable<string[]>, p: string): number => [...m].filter((x) => x.includes(p)).length;
          const rows = disks.map(
            (d) =>
              new Map<string, string | number>([
                ['machine', d.peer],
                ['domain', d.domain],
                ['copies now', weight(now.values(), d.peer)],
                [
                  'planned',
                  weight(
                    r.plan.placement.map((p) => p.nodes),
                    d.peer,
                  ),
                ],
              ]),
          );
          process.stdout.write(table(['machine', 'domain', 'copies now', 'planned'], rows));
          for (const p of r.plan.placement) {
            const n = now.get(p.shard) ?? [];
            const [come, go] = [p.nodes.filter((x) => !n.includes(x)), n.filter((x) => !p.nodes.includes(x))];
            if (come.length || go.length)
              process.stdout.write(
                `shard ${p.shard}: ${[...come.map((x) => `+${x}`), ...go.map((x) => `-${x}`)].join(' ')}\n`,
              );
          }
          process.stdout.write(`${r.plan.moved} copies move; made from version ${was.version}\n`);
          const config = {
            ...(was.config as FleetConfig),
            copies: (constraints as Constraints).copies,
            placement: r.plan.placement,
          };
          if (a.out) writeFileSync(a.out, JSON.stringify(config, null, 2) + '\n');
          // The operators' own words stay: only where copies lie is changed.
          const document = was.document === undefined ? {} : { document: was.document };
          if (a.apply)
            out(
              await rpc(at(a), 'SubmitConfig', {
                changeId: newChangeId('place'),
                expect: was.version,
                config,
                ...document,
              }),
            );
        }
      }
    },
  )
  .command(
    'moves',
    'the calendar, with how far each move has come',
    (y) => y,
    async (a) => out(await rpc(at(a), 'Moves', {})),
  )
  .command(
    'fleet',
    'members, disks and keys as a node knows them',
    (y) => y,
    async (a) => out(await rpc(at(a), 'Fleet', {})),
  )
  .command(
    'node',
    'counters and states of a node',
    (y) => y,
    async (a) => out(await rpc(at(a), 'Node', {})),
  )
  .command(
    'listeners <topic>',
    'how many listen on a topic',
    (y) => y.positional('topic', { type: 'string', demandOption: true }),
    async (a) => out(await rpc(at(a), 'Listeners', { topic: a.topic })),
  )
  .demandCommand(1, 'name a command')
  .strict()
  .version(VERSION)
  .fail((msg, err) => fail(2, (msg || err?.message || 'bad flags').split('\n')[0]!))
  .parseAsync();
