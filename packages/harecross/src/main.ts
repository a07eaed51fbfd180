#!/usr/bin/env node
import { readFileSync, writeFileSync } from 'node:fs';
import { VERSION } from '@harecross/kernel';
import { configFaults, type Answer, type FleetConfig, type Method, type Visit } from '@harecross/schema';
import { createInterface } from 'node:readline/promises';
import yargs from 'yargs';
import { callFleet, newChangeId, post } from './fleet-client.js';
import { diffConfig } from './config-diff.js';
import { solvePlacement, findPlanViolations, type Constraints } from './placement-solver.js';
import { runQuery, parseQuery, formatTable, type Row } from './query.js';
import { fetchFleetView, TABLES, describeCompleteness, type FleetView } from './fleet-view.js';

// Exit codes: 0 success, 1 rejected by the fleet or not possible, 2 usage error, 3 no answer or outcome unknown.

/** How long requests are retried while the fleet is not ready, in seconds; set by --wait. */
let waitS = 10;
const printJson = (value: unknown): void => {
  process.stdout.write(JSON.stringify(value, null, 2) + '\n');
};
const fail = (exitCode: number, message: string): never => {
  process.stderr.write(`harecross: ${message}\n`);
  process.exit(exitCode);
};

/** Sends a request to the first node that serves it; exits the process if it fails. */
async function rpc<M extends Method>(
  addresses: string[],
  method: M,
  body: Visit<M>,
  timeoutMs = 10_000,
): Promise<Answer<M>> {
  const outcome = await callFleet(
    { post, now: () => performance.now(), pause: (ms) => new Promise((resolve) => setTimeout(resolve, ms)) },
    { at: addresses, method, body, timeoutMs: timeoutMs, retryForMs: waitS * 1000 },
  );
  switch (outcome.tag) {
    case 'done':
      return outcome.body as Answer<M>;
    case 'no_answer':
      return fail(3, `no node served the request (last: ${outcome.last})`);
    case 'unclear':
      return fail(3, `${method} may have been executed and is not retried automatically (${outcome.last})`);
    case 'rejected': {
      const error = outcome.error;
      for (const f of error.faults ?? []) process.stderr.write(`  ${f.path}: ${f.fault}\n`);
      const detail = error.detail ? `: ${error.detail}` : '';
      const version = error.version === undefined ? '' : `: version ${error.version} is in force`;
      return fail(1, `${error.tag ?? outcome.status} at ${error.step} (${error.peer})${detail}${version}`);
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

/** Sends one RPC to a node; undefined if it fails. */
async function tryRpc<M extends Method>(client: string, method: M, body: Visit<M>): Promise<Answer<M> | undefined> {
  try {
    const response = await post(client, method, body, 3_000);
    return response.status === 200 ? (response.body as Answer<M>) : undefined;
  } catch {
    return undefined;
  }
}

const QUERY_HELP = `table [where field op value [and ...]] [sort field [desc] ...] [show field ...] [limit n]
tables: ${TABLES.join(', ')}
op: = != < <= > >= ~ (contains); each query fetches the state anew; 'fields TABLE' lists the fields; 'exit' quits
`;

/** Runs one query or `fields TABLE` and prints the result; false if the line is invalid. */
async function runLine(addresses: string[], line: string, json: boolean): Promise<boolean> {
  const parsed = parseQuery(line.startsWith('fields ') ? line.slice(7) : line);
  if (parsed.tag === 'wrong') {
    process.stderr.write(`${parsed.why}\n`);
    return false;
  }
  if (!(TABLES as readonly string[]).includes(parsed.query.formatTable)) {
    process.stderr.write(`no table '${parsed.query.formatTable}'; tables: ${TABLES.join(', ')}\n`);
    return false;
  }
  const view: FleetView | undefined = await fetchFleetView(addresses, tryRpc, () => performance.now());
  if (!view) return fail(3, `no answer from ${addresses.join(', ')}`);
  const result = runQuery(parsed.query, view.tables.get(parsed.query.formatTable)!);
  if (result.tag === 'wrong') {
    process.stderr.write(`${result.why}\n`);
    return false;
  }
  if (line.startsWith('fields ')) {
    process.stdout.write(`${result.fields.join(' ')}\n`);
    return true;
  }
  const toObject = (row: Row): object => Object.fromEntries(result.fields.map((f) => [f, row.get(f)]));
  if (json)
    printJson({ rows: result.rows.map(toObject), nodes: view.queriedNodes, silent: view.silent, tookMs: view.tookMs });
  else
    process.stdout.write(
      `${formatTable(result.fields, result.rows)}${result.rows.length} rows, ${describeCompleteness(view)}\n`,
    );
  return true;
}

const addressesOf = (flags: { at: string }): string[] => flags.at.split(',');

await yargs(process.argv.slice(2))
  .scriptName('harecross')
  .usage('$0 <command>\n\nOperates a harecross fleet.')
  .option('at', {
    type: 'string',
    demandOption: true,
    describe: 'client addresses of one or more nodes, separated by commas',
  })
  .option('wait', { type: 'number', default: 10, describe: 'seconds to keep retrying while the fleet is not ready' })
  .middleware((a) => {
    waitS = a.wait;
  })
  .command(
    'submit <file>',
    'submit a configuration',
    (y) =>
      y
        .positional('file', { type: 'string', demandOption: true })
        .option('change-id', {
          type: 'string',
          describe: 'ID of this change; a repeat with the same ID has no further effect',
        })
        .option('expect', { type: 'number', describe: 'apply only if this version is in force', conflicts: 'revision' })
        .option('revision', {
          type: 'number',
          describe: 'revision number chosen by the operator; the highest submitted revision takes effect',
        })
        .option('document', {
          type: 'string',
          describe:
            "JSON file with the operator's own description of the configuration; stored with it and returned by read",
        })
        .option('dry-run', {
          type: 'boolean',
          default: false,
          describe: 'validate the configuration and show what would change',
        }),
    async (a) => {
      const config = readJson(a.file) as FleetConfig;
      const faults = configFaults(config);
      if (faults.length) {
        for (const f of faults) process.stderr.write(`  ${f.path}: ${f.fault}\n`);
        fail(1, `${a.file}: invalid configuration`);
      }
      if (a.dryRun) {
        const current = await rpc(addressesOf(a), 'ReadConfig', {});
        const revision = current.revision === undefined ? '' : `, revision ${current.revision}`;
        if (a.revision !== undefined && a.revision <= (current.revision ?? -1))
          process.stdout.write(`revision ${a.revision} is not higher than the one in force and would have no effect\n`);
        else for (const line of diffConfig(current.config as FleetConfig, config)) process.stdout.write(`${line}\n`);
        process.stdout.write(`compared with version ${current.version}${revision}; nothing was changed\n`);
        return;
      }
      if (a.revision !== undefined && !(Number.isSafeInteger(a.revision) && a.revision >= 0))
        fail(2, '--revision: must be a non-negative integer');
      const document = a.document === undefined ? {} : { document: readJson(a.document) };
      if (a.revision !== undefined) {
        // The same revision may be sent again to any node, so the timeout is short: a node that does not answer is soon skipped.
        const body = {
          revision: a.revision,
          ...document,
          config,
          ...(a.changeId === undefined ? {} : { changeId: a.changeId }),
        };
        const result = await rpc(addressesOf(a), 'SubmitConfig', body, 2_000);
        if (result.revision !== undefined && result.revision > a.revision)
          process.stderr.write(
            `harecross: revision ${result.revision} is in force; ${a.revision} is lower and has no effect (${result.outcome})\n`,
          );
        printJson(result);
        return;
      }
      const changeId = a.changeId ?? newChangeId('cli');
      printJson({
        changeId,
        ...(await rpc(addressesOf(a), 'SubmitConfig', {
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
    'print the configuration in force, as confirmed by a majority',
    (y) => y,
    async (a) => printJson(await rpc(addressesOf(a), 'ReadConfig', {})),
  )
  .command(
    'query <words..>',
    'run one query on the state of the fleet',
    (y) =>
      y
        .positional('words', { type: 'string', array: true, demandOption: true })
        .option('json', { type: 'boolean', default: false })
        .epilogue(QUERY_HELP),
    async (a) => {
      if (!(await runLine(addressesOf(a), a.words!.join(' '), a.json))) process.exit(2);
    },
  )
  .command(
    'shell',
    'run queries on the state of the fleet interactively',
    (y) => y.option('json', { type: 'boolean', default: false }),
    async (a) => {
      const rl = createInterface({
        input: process.stdin,
        output: process.stdout,
        prompt: 'harecross> ',
        terminal: process.stdin.isTTY === true,
      });
      if (process.stdin.isTTY) process.stdout.write(QUERY_HELP);
      rl.prompt();
      for await (const input of rl) {
        const line = input.trim();
        if (line === 'exit' || line === 'quit') break;
        if (line === 'help') process.stdout.write(QUERY_HELP);
        else if (line) await runLine(addressesOf(a), line, a.json);
        rl.prompt();
      }
      rl.close();
    },
  )
  .command(
    'empty <disk>',
    'move copies, shard ownership and register votes off a disk',
    (y) =>
      y.positional('disk', { type: 'string', demandOption: true }).option('change-id', {
        type: 'string',
        describe: 'ID of this operation; a repeat with the same ID has no further effect',
      }),
    async (a) =>
      printJson(await rpc(addressesOf(a), 'EmptyDisk', { disk: a.disk, changeId: a.changeId ?? newChangeId('cli') })),
  )
  .command(
    'empty-status <disk>',
    'show the progress of emptying a disk',
    (y) => y.positional('disk', { type: 'string', demandOption: true }),
    async (a) => printJson(await rpc(addressesOf(a), 'EmptyStatus', { disk: a.disk })),
  )
  .command(
    'cancel-empty <disk>',
    'cancel the emptying of a disk',
    (y) =>
      y.positional('disk', { type: 'string', demandOption: true }).option('change-id', {
        type: 'string',
        describe: 'ID of this operation; a repeat with the same ID has no further effect',
      }),
    async (a) =>
      printJson(await rpc(addressesOf(a), 'CancelEmpty', { disk: a.disk, changeId: a.changeId ?? newChangeId('cli') })),
  )
  .command(
    'plan <file>',
    'replace the schedule of planned machine operations',
    (y) =>
      y
        .positional('file', { type: 'string', demandOption: true })
        .option('change-id', { type: 'string' })
        .option('expect', { type: 'number', describe: 'apply only if this version is in force' }),
    async (a) => {
      const changeId = a.changeId ?? newChangeId('cli');
      printJson({
        changeId,
        ...(await rpc(addressesOf(a), 'PlanMoves', {
          changeId,
          moves: readJson(a.file) as Visit<'PlanMoves'>['moves'],
          ...(a.expect === undefined ? {} : { expect: a.expect }),
        })),
      });
    },
  )
  .command(
    'place <file>',
    'compute a placement of replicas from a constraint file, show it, and optionally write or apply it',
    (y) =>
      y
        .positional('file', { type: 'string', demandOption: true })
        .option('out', {
          type: 'string',
          describe: 'write the whole configuration including the placement to this file, for submit --expect',
        })
        .option('apply', {
          type: 'boolean',
          default: false,
          describe: 'submit it if the configuration on which it is based is still in force',
        }),
    async (a) => {
      const [fleet, base] = [await rpc(addressesOf(a), 'Fleet', {}), await rpc(addressesOf(a), 'ReadConfig', {})];
      const disks = fleet.disks.filter((d) => d.state === 'active');
      const peerOfDisk = new Map<string, string>(fleet.disks.map((d) => [d.id, d.peer]));
      const current = new Map<number, string[]>(
        fleet.keys.map((k) => [k.shard, k.copies.map((d: string) => peerOfDisk.get(d) ?? d)]),
      );
      const constraints = readJson(a.file);
      const result = solvePlacement(constraints, disks, current);
      switch (result.tag) {
        case 'wrong':
          for (const f of result.faults) process.stderr.write(`  ${f}\n`);
          return fail(2, `${a.file}: invalid constraints`);
        case 'conflict':
          for (const f of result.between) process.stderr.write(`  ${f}\n`);
          return fail(
            1,
            'no placement satisfies all of the constraints above; removing any one of them resolves this conflict',
          );
        case 'plan': {
          const violations = findPlanViolations(constraints as Constraints, disks, result.plan.placement);
          if (violations.length) return fail(1, `the solver returned an invalid plan: ${violations[0]}`);
          const countCopies = (copies: Iterable<string[]>, peer: string): number =>
            [...copies].filter((peers) => peers.includes(peer)).length;
          const rows = disks.map(
            (d) =>
              new Map<string, string | number>([
                ['machine', d.peer],
                ['domain', d.domain],
                ['copies now', countCopies(current.values(), d.peer)],
                [
                  'planned',
                  countCopies(
                    result.plan.placement.map((p) => p.nodes),
                    d.peer,
                  ),
                ],
              ]),
          );
          process.stdout.write(formatTable(['machine', 'domain', 'copies now', 'planned'], rows));
          for (const p of result.plan.placement) {
            const old = current.get(p.shard) ?? [];
            const [added, removed] = [p.nodes.filter((x) => !old.includes(x)), old.filter((x) => !p.nodes.includes(x))];
            if (added.length || removed.length)
              process.stdout.write(
                `shard ${p.shard}: ${[...added.map((x) => `+${x}`), ...removed.map((x) => `-${x}`)].join(' ')}\n`,
              );
          }
          process.stdout.write(`${result.plan.moved} copies move; based on version ${base.version}\n`);
          const config = {
            ...(base.config as FleetConfig),
            copies: (constraints as Constraints).copies,
            placement: result.plan.placement,
          };
          if (a.out) writeFileSync(a.out, JSON.stringify(config, null, 2) + '\n');
          // The operator's document is kept, since only the placement changes.
          const document = base.document === undefined ? {} : { document: base.document };
          if (a.apply)
            printJson(
              await rpc(addressesOf(a), 'SubmitConfig', {
                changeId: newChangeId('place'),
                expect: base.version,
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
    'list the planned machine operations and their progress',
    (y) => y,
    async (a) => printJson(await rpc(addressesOf(a), 'Moves', {})),
  )
  .command(
    'fleet',
    'print members, disks and shards as one node sees them',
    (y) => y,
    async (a) => printJson(await rpc(addressesOf(a), 'Fleet', {})),
  )
  .command(
    'node',
    'print the counters and state of one node',
    (y) => y,
    async (a) => printJson(await rpc(addressesOf(a), 'Node', {})),
  )
  .command(
    'listeners <topic>',
    'print the number of subscribers of a topic',
    (y) => y.positional('topic', { type: 'string', demandOption: true }),
    async (a) => printJson(await rpc(addressesOf(a), 'Listeners', { topic: a.topic })),
  )
  .demandCommand(1, 'name a command')
  .strict()
  .version(VERSION)
  .fail((msg, err) => fail(2, (msg || err?.message || 'invalid flags').split('\n')[0]!))
  .parseAsync();
