/** Scenarios of operator actions: configuration changes, concurrent changes, emptied disks, planned moves and placements. */
import { isInPlannedRestart } from '@harecross/control';
import { SESSION, SHARD } from '@harecross/kernel';
import type { FleetConfig } from '@harecross/schema';
import { MarkerChecker, Operator } from '../simulated-clients.js';
import { fleetConfigOf, type Scenario } from '../scenario.js';
import { randomElement, pause, SIX_DISKS } from './common.js';

/** Longest time from the start of a planned restart until the machine knows of it: one interval of the controller and one committed change. */
const RESTART_KNOWN_MS = 1_000;
/** Time within which a client that was asked to move has left: the network delay of its detach request. */
const CLIENT_LEAVES_MS = 100;

export const OPERATOR_FAULTS: [string, Scenario][] = [
  [
    'operators',
    {
      faults: async (context) => {
        const configWith = (suffix: number) =>
          fleetConfigOf(context.site, [
            { name: `extra${suffix}`, topics: [`x${suffix}/*`], urgency: 'routine', patienceMs: 2_000, memoryS: 30 },
          ]);
        const operator = context.crowd.operator;
        for (let i = 0; i < 4; i++) {
          const version = await operator.read();
          await Promise.all([
            operator.submit(`race-${i}-a`, configWith(i), true, version),
            operator.submit(`race-${i}-b`, configWith(10 + i), true, version),
            operator.submit(`free-${i}`, configWith(20 + i), true),
            operator.submit(`bad-${i}`, { families: [{ name: 7 }] }, false),
          ]);
          if (i === 1) {
            const node = randomElement(context, context.stores);
            context.sim.kill(node);
            void pause(context, 2_500).then(() => context.sim.start(node));
          }
          await pause(context, 1_000);
          if (i > 0) await operator.submit(`free-${i - 1}`, configWith(20 + i - 1), true);
          await operator.read();
        }
      },
    },
  ],
  [
    'remove-family',
    {
      faultPhaseMs: 30_000,
      faults: async (context) => {
        const families = fleetConfigOf(context.site).families;
        const operator = context.crowd.operator;
        await operator.submit('remove', { families: families.slice(0, 1) }, true);
        await pause(context, 9_000);
        await operator.submit('again', { families }, true);
        await pause(context, 9_000);
      },
    },
  ],
  [
    'cut-config',
    {
      faultPhaseMs: 25_000,
      faults: async (context) => {
        // Some nodes are cut off while the configuration changes: they must stop serving rather than serve by an old configuration.
        const base = fleetConfigOf(context.site);
        for (let i = 0; i < 2; i++) {
          const isolated = [
            randomElement(context, context.stores),
            randomElement(context, context.relays),
            randomElement(context, context.relays),
          ];
          context.note(`cut off ${isolated.map((node) => node.name).join(' ')}`);
          for (const node of isolated)
            for (const other of context.sim.nodes.values())
              if (!isolated.includes(other)) context.sim.cut(node.name, other.name, context.random.next() < 0.7);
          await context.crowd.operator.submit(
            `cut-${i}`,
            { families: i % 2 ? base.families : base.families.slice(0, 1) },
            true,
          );
          await pause(context, 6_000);
          context.sim.healAll();
          await pause(context, 4_000);
        }
      },
    },
  ],
  [
    'marks',
    {
      faultPhaseMs: 45_000,
      faults: async (context) => {
        // Each configuration has its own marker topic. Every relay is polled for the last two, while configurations change and machines
        // restart, are cut off, freeze and thaw.
        const marker = new MarkerChecker(context.clientContext);
        const base = fleetConfigOf(context.site);
        const submit = async (n: number): Promise<void> => {
          marker.at = n;
          const markerFamily = {
            name: `mark${n}`,
            topics: [`mark/${n}`],
            urgency: 'routine' as const,
            patienceMs: 1_000,
            memoryS: 5,
          };
          await context.crowd.operator.submit(`mark-${n}`, { families: [...base.families, markerFamily] }, true);
        };
        await submit(1);
        marker.start(context.relays.map((relay) => relay.config.client));
        for (let n = 2; n <= 7; n++) {
          const victim = randomElement(context, [...context.relays, ...context.stores]);
          const choice = context.random.next();
          if (choice < 0.3) {
            context.note(`restart ${victim.name}`);
            context.sim.kill(victim);
            void pause(context, 900).then(() => context.sim.start(victim));
          } else if (choice < 0.6) {
            context.note(`freeze ${victim.name}`);
            context.sim.freeze(victim);
            void pause(context, 2_800).then(() => context.sim.thaw(victim));
          } else if (choice < 0.9) {
            context.note(`cut off ${victim.name}`);
            for (const other of context.sim.nodes.values())
              if (other !== victim) context.sim.cut(victim.name, other.name, context.random.next() < 0.7);
            void pause(context, 3_500).then(() => context.sim.healAll());
          }
          await pause(context, 300 * context.random.next());
          await submit(n);
          await pause(context, 4_500);
        }
        marker.stop();
        await context.crowd.operator.submit('no marks', base, true);
        await pause(context, 4_000);
        const answerCount = context.clientContext.journal.seen.filter((event) => event.k === 'mark').length;
        context.note(`${answerCount} answers on markers`);
        if (answerCount < 4_000)
          throw new Error(
            `only ${answerCount} marker answers: too few to notice an old configuration that is served for 250 ms`,
          );
      },
    },
  ],
  [
    'revisions',
    {
      faultPhaseMs: 50_000,
      faults: async (context) => {
        // Two operators submit revisions concurrently, some resent late and some invalid. Families are renamed, split and nested under
        // traffic. Marker topics show which configuration every relay serves by, while machines restart, freeze and are cut off.
        const marker = new MarkerChecker(context.clientContext);
        const base = fleetConfigOf(context.site).families;
        const [routine, urgent] = [base[0]!, base[1]!];
        const shapes: FleetConfig['families'][] = [
          base,
          [
            { ...routine, name: urgent.name },
            { ...urgent, name: routine.name },
          ],
          [{ ...routine, topics: ['r/*', 'r/1*'] }, urgent],
          [routine, { ...routine, name: 'inner', topics: ['r/1*', 'r/2'] }, urgent],
          [
            { ...routine, topics: ['r*'] },
            { ...urgent, topics: ['u*', 'u/0'] },
          ],
        ];
        let lastMark = 0;
        const operators = [context.crowd.operator, new Operator(context.clientContext, 'other')];
        const submitRevision = (i: number): Promise<unknown> => {
          const mark = ++lastMark;
          const revision = mark * 3 + i;
          const families = [
            ...shapes[Math.floor(context.random.next() * shapes.length)]!,
            {
              name: 'mark',
              topics: [`mark/${mark}`],
              precedence: mark,
              patienceMs: 1_000,
              memoryS: 5,
              order: 'topic' as const,
            },
          ];
          const document = { revision, words: ['any', { of: null }], limits: { header: 1 } };
          const done = operators[i]!.revise(revision, { families }, true, document);
          if (context.random.next() < 0.4)
            void pause(context, 9_000 * context.random.next()).then(() =>
              operators[1 - i]!.revise(revision, { families }, true, document),
            );
          if (context.random.next() < 0.4)
            void operators[i]!.revise(
              1_000 + mark * 2 + i,
              { families: [...families, { name: 'mark', topics: [`mark/${mark}`] }] },
              false,
              document,
            );
          marker.at = mark;
          return done;
        };
        await Promise.all([submitRevision(0), submitRevision(1)]);
        marker.start(context.relays.map((relay) => relay.config.client));
        for (let round = 0; round < 6; round++) {
          const victim = randomElement(context, [...context.relays, ...context.stores]);
          const choice = context.random.next();
          if (choice < 0.3) {
            context.note(`restart ${victim.name}`);
            context.sim.kill(victim);
            void pause(context, 900).then(() => context.sim.start(victim));
          } else if (choice < 0.6) {
            context.note(`freeze ${victim.name}`);
            context.sim.freeze(victim);
            void pause(context, 2_800).then(() => context.sim.thaw(victim));
          } else if (choice < 0.9) {
            context.note(`cut off ${victim.name}`);
            for (const other of context.sim.nodes.values())
              if (other !== victim) context.sim.cut(victim.name, other.name, context.random.next() < 0.7);
            void pause(context, 3_500).then(() => context.sim.healAll());
          }
          await pause(context, 300 * context.random.next());
          await Promise.all([
            submitRevision(0),
            pause(context, 600 * context.random.next()).then(() => submitRevision(1)),
          ]);
          await pause(context, 4_500);
        }
        marker.stop();
        await pause(context, 4_000);
        const answers = context.clientContext.journal.seen.filter((event) => event.k === 'cfg.answer');
        const countOf = (out: string): number =>
          answers.filter((event) => event.k === 'cfg.answer' && event.out === out).length;
        context.note(`${countOf('taken')} taken, ${countOf('overtaken')} overtaken, ${countOf('invalid')} invalid`);
        if (countOf('taken') < 8 || countOf('overtaken') + countOf('invalid') < 3)
          throw new Error('too few revisions were taken, or too few were overtaken or invalid');
      },
    },
  ],
  [
    'late-change',
    {
      faultPhaseMs: 25_000,
      faults: async (context) => {
        const operator = context.crowd.operator;
        const configWith = (name: string) =>
          fleetConfigOf(context.site, [
            { name, topics: [`${name}/*`], urgency: 'routine', patienceMs: 2_000, memoryS: 30 },
          ]);
        for (let i = 0; i < 4; i++) {
          await operator.submit(`c${i}`, configWith(`n${i}`), true);
          await operator.read();
        }
        await operator.submit('stale', configWith('stale'), true, 1);
        const node = randomElement(context, context.disks);
        context.sim.kill(node);
        // Old changes are resent much later: each must be answered with its first outcome and change nothing.
        for (let i = 0; i < 4; i++) {
          await operator.submit(`c${i}`, configWith(`n${i}`), true);
          await operator.read();
        }
        await operator.submit('stale', configWith('stale'), true, 1);
        await context.sim.start(node);
        await pause(context, 3_000);
      },
    },
  ],
  [
    'empty',
    {
      site: SIX_DISKS,
      faultPhaseMs: 45_000,
      faults: async (context) => {
        // A disk is emptied while a machine is killed and restarted; no shard may have fewer replicas meanwhile.
        const operator = context.crowd.operator;
        const drained = randomElement(context, context.disks);
        const disk = drained.kernel!.use('register').disk!;
        const fewestReplicas = (): number =>
          Math.min(
            ...[
              ...context.relays
                .find((relay) => relay.up)!
                .kernel!.use('register')
                .value!.shards.values(),
            ].map((placement) => placement.copies.length),
          );
        const before = fewestReplicas();
        const response = await operator.ask('EmptyDisk', { disk });
        if (response.status !== 200) throw new Error(`EmptyDisk: ${JSON.stringify(response.body)}`);
        // Started, cancelled half-way, and started again.
        await pause(context, 1_200);
        const cancelled = await operator.ask('CancelEmpty', { disk });
        if (cancelled.body.state !== 'active') throw new Error(`CancelEmpty: ${JSON.stringify(cancelled.body)}`);
        await pause(context, 5_000);
        const replicaCount = (await operator.ask('EmptyStatus', { disk })).body.copies as number;
        if (replicaCount < 20) throw new Error(`only ${replicaCount} copies came back to ${drained.name}`);
        await operator.ask('EmptyDisk', { disk });
        const victim = randomElement(
          context,
          context.disks.filter((other) => other !== drained),
        );
        await pause(context, 1_000);
        context.note(`kill ${victim.name} while ${drained.name} is emptied`);
        context.sim.kill(victim);
        let fewestSeen = before;
        const waitUntilEmptied = async (ms: number): Promise<string> => {
          for (let t = 0; t < ms; t += 200) {
            await pause(context, 200);
            fewestSeen = Math.min(fewestSeen, fewestReplicas());
            const status = await operator.ask('EmptyStatus', { disk });
            if (status.body.state === 'emptied') return 'emptied';
          }
          return 'not emptied';
        };
        await pause(context, 4_000);
        await context.sim.start(victim);
        const end = await waitUntilEmptied(30_000);
        if (end !== 'emptied') throw new Error(`${drained.name} is ${end}`);
        if (fewestSeen < before) throw new Error(`a shard had ${fewestSeen} copies, ${before} were wanted`);
        context.note(`${drained.name} is emptied and is taken away`);
        context.sim.loseDisk(drained);
        await pause(context, 5_000);
      },
    },
  ],
  [
    'calendar',
    {
      site: SIX_DISKS,
      faultPhaseMs: 60_000,
      faults: async (context) => {
        // A new machine, a restart and an emptied disk at planned times; the machine of the elected controller is killed in between.
        const operator = context.crowd.operator;
        const wallTimeIn = (ms: number): number => Math.round(context.relays[0]!.kernel!.host.clock.wall() + ms);
        const emptiedStore = context.stores[0]!,
          restarted = context.relays[context.relays.length - 1]!;
        const addedNode = context.sim.add('added', {
          role: 'store',
          domain: randomElement(context, context.site.domains),
          disk: true,
        });
        addedNode.config.seeds = context.stores.slice(0, 3).map((node) => node.config.peer);
        const moves = [
          { id: 'new', kind: 'add', node: addedNode.config.peer, from: wallTimeIn(2_000), until: wallTimeIn(15_000) },
          {
            id: 'restart',
            kind: 'restart',
            node: restarted.config.peer,
            from: wallTimeIn(16_000),
            until: wallTimeIn(24_000),
          },
          {
            id: 'empty',
            kind: 'empty',
            node: emptiedStore.config.peer,
            from: wallTimeIn(25_000),
            until: wallTimeIn(50_000),
          },
        ];
        const pastMove = await operator.ask('PlanMoves', {
          changeId: 'past',
          moves: [{ id: 'p', kind: 'empty', node: emptiedStore.config.peer, from: 1, until: 2 }],
        });
        if (pastMove.body.error?.tag !== 'invalid_config') throw new Error('a planned move in the past was accepted');
        const response = await operator.plan('plan', fleetConfigOf(context.site), moves);
        if (response.status !== 200) throw new Error(JSON.stringify(response.body));
        await context.sim.start(addedNode);
        // The machine learns of its restart soon after the planned start, and asks its last client to move at the end of the drain spread.
        const knows = (): boolean => isInPlannedRestart(restarted.kernel!.use('register').value, restarted.config.peer);
        const restart = moves[1]!;
        while (!knows() && wallTimeIn(0) <= restart.from + RESTART_KNOWN_MS) await pause(context, 50);
        if (!knows()) throw new Error(`${restarted.name} does not know of its restart after ${RESTART_KNOWN_MS} ms`);
        await pause(context, SESSION.plannedDrainSpreadMs + CLIENT_LEAVES_MS);
        if (restarted.edge!.ready())
          throw new Error(`${restarted.name} accepts client sessions during its planned restart`);
        const conns = restarted.kernel!.use('sessions').size;
        if (conns) throw new Error(`${restarted.name} still has ${conns} client sessions`);
        await context.sim.stop(restarted);
        await pause(context, 1_500);
        await context.sim.start(restarted);
        await pause(context, 6_000);
        const leader = context.disks.find((node) => node.up && node.kernel?.use('controller').isElected());
        if (leader && leader !== emptiedStore) {
          context.note(`keeper ${leader.name} dies`);
          context.sim.kill(leader);
          await pause(context, 6_000);
          await context.sim.start(leader);
        }
        await pause(context, 22_000);
        const reported = (await operator.ask('Moves', {})).body.moves as { id: string; state: string; why: string }[];
        const summary = reported
          .map((move) => `${move.id} ${move.state}${move.why ? ` (${move.why})` : ''}`)
          .join(', ');
        if (summary !== 'new done, restart done, empty done') throw new Error(summary);
        if (!restarted.edge!.ready()) throw new Error(`${restarted.name} did not come back`);
      },
    },
  ],
  [
    'placed',
    {
      site: SIX_DISKS,
      faultPhaseMs: 30_000,
      faults: async (context) => {
        // Replicas are placed on three machines by configuration; one of them is killed meanwhile and restarted.
        const operator = context.crowd.operator;
        const storePeers = context.stores.map((store) => store.config.peer);
        const config = {
          ...fleetConfigOf(context.site),
          placement: Array.from({ length: SHARD.shardCount }, (_, shard) => ({ shard, nodes: storePeers })),
        };
        const answer = await operator.submit('placed', config, true);
        if (answer.out !== 'taken') throw new Error(`placement ${answer.out}`);
        await pause(context, 3_000);
        const victim = randomElement(context, context.stores);
        context.sim.kill(victim);
        await pause(context, 4_000);
        await context.sim.start(victim);
        await pause(context, 20_000);
        const fleetValue = context.relays[0]!.kernel!.use('register').value!;
        const placedAsAsked = [...fleetValue.shards.values()].filter(
          (placement) =>
            placement.copies
              .map((disk) => fleetValue.disks.get(disk)!.peer)
              .sort()
              .join() === [...storePeers].sort().join(),
        ).length;
        if (placedAsAsked !== SHARD.shardCount)
          throw new Error(`${placedAsAsked} of ${SHARD.shardCount} shards are placed as asked`);
        const invalid = await operator.ask('SubmitConfig', {
          changeId: 'nowhere',
          config: { ...config, placement: [{ shard: 99, nodes: ['9.9.9.9:1'] }] },
        });
        if (invalid.body.error?.faults?.length !== 2) throw new Error(JSON.stringify(invalid.body));
      },
    },
  ],
];
