/** Scenarios in which links lose packets or are cut, and connections are reset. */
import { Consumer, Sender } from '../simulated-clients.js';
import { fleetConfigOf, type Scenario } from '../scenario.js';
import { randomElement, EIGHT_DISKS, pause } from './common.js';

export const NETWORK_FAULTS: [string, Scenario][] = [
  [
    'loss',
    {
      opts: { loss: 0.05, delayMs: [5, 40] },
      faults: async (context) => {
        await pause(context, 15_000);
      },
    },
  ],
  [
    'resets',
    {
      faults: async (context) => {
        for (let i = 0; i < 10; i++) {
          context.sim.resetStreams(0.1);
          await pause(context, 500);
        }
        context.note('mass reset');
        context.sim.resetStreams(0.97);
        await pause(context, 6_000);
      },
    },
  ],
  [
    'cut',
    {
      faults: async (context) => {
        const node = randomElement(context, [...context.stores, ...context.relays]);
        context.note(`cut off ${node.name}`);
        const both = context.random.next() < 0.5;
        for (const other of context.sim.nodes.values())
          if (other !== node) context.sim.cut(node.name, other.name, both);
        await pause(context, 4_000 + 6_000 * context.random.next());
        context.sim.healAll();
        context.note('healed');
        await pause(context, 4_000);
      },
    },
  ],
  [
    'link-cut',
    {
      site: EIGHT_DISKS,
      faultPhaseMs: 30_000,
      faults: async (context) => {
        // Some links of one machine are cut: it still reaches a majority of the voters, but not of the replicas of every shard.
        const node = randomElement(context, context.stores);
        const unreachable = context.disks
          .filter((event) => event !== node)
          .sort(() => context.random.next() - 0.5)
          .slice(0, 3);
        context.note(`${node.name} loses its links to ${unreachable.map((event) => event.name).join(' ')}`);
        for (const other of unreachable) context.sim.cut(node.name, other.name);
        await pause(context, 8_000);
        const seen = context.clientContext.journal.seen;
        const from = seen.length;
        await pause(context, 8_000);
        const answers = seen.slice(from).filter((event) => event.k === 'pub.answer');
        const ok = answers.filter((event) => event.k === 'pub.answer' && event.out === 'accepted').length;
        context.note(`accepted ${ok} of ${answers.length} while the links were cut`);
        if (ok < answers.length * 0.99)
          throw new Error(
            `only ${ok} of ${answers.length} publishes were accepted while the links of ${node.name} were cut`,
          );
        context.sim.healAll();
        await pause(context, 5_000);
      },
    },
  ],
  [
    'split',
    {
      faults: async (context) => {
        const side = new Set(
          [...context.sim.nodes.values()].filter(() => context.random.next() < 0.4).map((n) => n.name),
        );
        context.note(`split off ${[...side].join(' ')}`);
        for (const a of context.sim.nodes.keys())
          for (const b of context.sim.nodes.keys()) if (side.has(a) && !side.has(b)) context.sim.cut(a, b);
        await pause(context, 5_000);
        context.sim.healAll();
        await pause(context, 6_000);
      },
    },
  ],
  [
    'stale-owner',
    {
      faultPhaseMs: 22_000,
      faults: async (context) => {
        // An owner and relays are cut off together, with publishers and listeners on both sides. When the links are restored, the owner
        // does not know yet that other nodes own its shards now.
        for (let i = 0; i < 2; i++) {
          const owner = randomElement(context, context.stores);
          const isolated = [owner, ...context.relays.filter((relay) => !relay.config.data).slice(i, i + 2)];
          context.note(`cut off ${isolated.map((node) => node.name).join(' ')}`);
          for (const node of isolated)
            for (const other of context.sim.nodes.values())
              if (!isolated.includes(other)) context.sim.cut(node.name, other.name);
          const extraSenders = Array.from(
            { length: 12 },
            (_, j) =>
              new Sender(
                context.clientContext,
                `more${i}-${j}`,
                randomElement(context, context.site.domains),
                context.crowd.topics.filter((_, t) => t % 12 === j),
                80,
              ),
          );
          for (const sender of extraSenders) sender.start();
          await pause(context, 4_500);
          context.sim.healAll();
          await pause(context, 3_500);
          for (const sender of extraSenders) sender.stop();
        }
      },
    },
  ],
  [
    'link',
    {
      faultPhaseMs: 30_000,
      faults: async (context) => {
        // Only the links between one relay and two machines with a disk are cut: requests must take a detour through other nodes.
        const relay = randomElement(
          context,
          context.relays.filter((event) => !event.config.data),
        );
        const unreachable = [...context.disks].sort(() => context.random.next() - 0.5).slice(0, 2);
        context.note(`the links of ${relay.name} to ${unreachable.map((event) => event.name).join(' and ')} break`);
        for (const other of unreachable) context.sim.cut(relay.name, other.name);
        const seen = context.clientContext.journal.seen;
        const from = seen.length;
        await pause(context, 16_000);
        const answers = seen
          .slice(from)
          .filter(
            (event): event is Extract<typeof event, { k: 'pub.answer' }> =>
              event.k === 'pub.answer' && event.node === relay.config.client,
          );
        const ok = answers.filter((event) => event.out === 'accepted').length;
        context.note(`accepted ${ok} of ${answers.length} through ${relay.name} meanwhile`);
        if (answers.length < 15 || ok < answers.length * 0.95)
          throw new Error(`only ${ok} of ${answers.length} publishes through ${relay.name} were accepted`);
        context.sim.healAll();
        await pause(context, 5_000);
      },
    },
  ],
  [
    'half-open',
    {
      faultPhaseMs: 30_000,
      faults: async (context) => {
        // Streams stop without an error on either side, while keepalives on other connections continue: no consumer may miss a message.
        for (let i = 0; i < 3; i++) {
          const halfOpen = context.crowd.consumers.filter(() => context.random.next() < 0.4);
          context.note(`the streams of ${halfOpen.length} consumers are half-open`);
          for (const consumer of halfOpen) context.sim.halfOpenConsumers.add(consumer.name);
          await pause(context, 8_000);
        }
        const noticed = context.clientContext.journal.seen.filter(
          (event) => event.k === 'conn.end' && event.why === 'dead stream',
        ).length;
        context.note(`${noticed} were noticed`);
        if (noticed < 15) throw new Error(`only ${noticed} dead streams were noticed`);
      },
    },
  ],
  [
    'thin-links',
    {
      faultPhaseMs: 25_000,
      faults: async (context) => {
        // Two consumers have links of limited bandwidth. The one whose link is too slow for large messages is closed as saturated; others must not be delayed.
        await context.crowd.operator.submit(
          'bulk',
          fleetConfigOf(context.site, [
            {
              name: 'bulk',
              topics: ['bulk/*'],
              urgency: 'routine',
              patienceMs: 3_000,
              memoryS: 30,
              limits: { bodyBytes: 200_000 },
            },
          ]),
          true,
        );
        context.sim.linkBytesPerS.set('thin0', 40_000);
        context.sim.linkBytesPerS.set('thin1', 4_000_000);
        const consumers = ['thin0', 'thin1', 'wide0'].map(
          (name) =>
            new Consumer(context.clientContext, name, randomElement(context, context.site.domains), [
              'bulk/0',
              'r/0',
              'u/0',
            ]),
        );
        for (const consumer of consumers) consumer.start();
        const senders = [
          new Sender(context.clientContext, 'bulky', context.site.domains[0]!, ['bulk/0'], 400, { bodyBytes: 100_000 }),
          new Sender(context.clientContext, 'chatty', context.site.domains[0]!, ['bulk/0'], 12, { bodyBytes: 20_000 }),
        ];
        await pause(context, 1_500);
        for (const sender of senders) sender.start();
        await pause(context, 12_000);
        for (const sender of senders) sender.stop();
        context.sim.linkBytesPerS.clear();
        for (const consumer of consumers) consumer.disconnect();
        await pause(context, 5_000);
        const closedAsSaturated = context.relays.reduce(
          (count, relay) => count + (relay.kernel?.counters.get('conn.closed.saturated') ?? 0),
          0,
        );
        if (!closedAsSaturated)
          throw new Error('no client session was saturated: the scenario did not cause its fault');
        if (
          context.clientContext.journal.seen.some(
            (event) =>
              event.k === 'conn.end' &&
              event.consumer !== 'thin0' &&
              (event.why === 'saturated' || event.why === 'unknown_conn'),
          )
        )
          throw new Error('a client session on a fast link was closed');
      },
    },
  ],
];
