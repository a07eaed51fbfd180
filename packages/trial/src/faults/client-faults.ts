/** Scenarios in which clients disconnect for long, vanish, arrive all at once or overload the fleet. */
import { SHARD } from '@harecross/kernel';
import { Consumer, PipelinedSender, Sender } from '../simulated-clients.js';
import type { Scenario } from '../scenario.js';
import { randomElement, CROWDED, pause } from './common.js';

export const CLIENT_FAULTS: [string, Scenario][] = [
  [
    'cursors',
    {
      faultPhaseMs: 130_000,
      skewMs: 60_000,
      faults: async (context) => {
        // Consumers disconnect for nearly the retention time and resume with their cursors at any node. Meanwhile history is trimmed,
        // shards change owners, a machine returns so late that its replicas need snapshots, clocks jump, and the power fails.
        const sendConsumersAway = async (): Promise<void> => {
          for (const consumer of context.crowd.consumers)
            if (context.random.next() < 0.5) {
              consumer.domain = randomElement(context, context.site.domains);
              void consumer.disconnectFor(12_000 + 11_000 * context.random.next());
            }
          await pause(context, 24_000);
        };
        const longAbsent = randomElement(context, context.stores);
        context.note(`${longAbsent.name} is gone for long`);
        context.sim.kill(longAbsent);
        for (let i = 0; i < 3; i++) {
          void sendConsumersAway();
          await pause(context, 8_000);
          const node = randomElement(
            context,
            context.disks.filter((other) => other !== longAbsent),
          );
          if (i === 1) {
            context.note('all power fails');
            for (const other of context.sim.nodes.values()) context.sim.kill(other);
            await pause(context, 800);
            for (const other of context.sim.nodes.values())
              if (other !== longAbsent) {
                other.skewMs += (context.random.next() * 2 - 1) * 3_600_000;
                await context.sim.start(other);
              }
          } else {
            context.note(`stop ${node.name}`);
            await context.sim.stop(node);
            await pause(context, 600);
            await context.sim.start(node);
          }
          await pause(context, 18_000);
        }
        await context.sim.start(longAbsent);
        void sendConsumersAway();
        await pause(context, 5_000);
        const node = randomElement(
          context,
          context.disks.filter((other) => other !== longAbsent),
        );
        context.note(`kill ${node.name}`);
        context.sim.kill(node);
        await pause(context, 25_000);
        await context.sim.start(node);
        const snapshots = longAbsent.kernel!.counters.get('copy.snapshots') ?? 0;
        context.note(`${longAbsent.name} was given ${snapshots} snapshots`);
        if (!snapshots) throw new Error('no replica received a snapshot: the scenario did not cause its fault');
      },
    },
  ],
  [
    'handovers',
    {
      faultPhaseMs: 35_000,
      faults: async (context) => {
        // Owners are stopped, killed and cut off in turn while up to eight publishes at a time are in progress on many of their topics.
        const extra = context.crowd.topics
          .slice(4, 16)
          .map(
            (topic, i) =>
              new PipelinedSender(
                context.clientContext,
                `many${i}`,
                randomElement(context, context.site.domains),
                topic,
                60,
              ),
          );
        for (const pipeliner of extra) pipeliner.start();
        for (let i = 0; i < 6; i++) {
          const node = randomElement(context, context.disks);
          context.note(`${['stop', 'kill', 'silence'][i % 3]} ${node.name}`);
          if (i % 3 === 0) {
            await context.sim.stop(node);
            await pause(context, 700);
            await context.sim.start(node);
          } else if (i % 3 === 1) {
            context.sim.kill(node);
            await pause(context, 2_000);
            await context.sim.start(node);
          } else {
            for (const other of context.sim.nodes.values()) if (other !== node) context.sim.cut(node.name, other.name);
            await pause(context, 2_500);
            context.sim.healAll();
          }
          await pause(context, 3_000);
        }
        for (const pipeliner of extra) pipeliner.stop();
        await pause(context, 3_000);
      },
    },
  ],
  [
    'churn',
    {
      faults: async (context) => {
        for (let i = 0; i < 40; i++) {
          const consumer = randomElement(context, context.crowd.consumers);
          const choice = context.random.next();
          if (choice < 0.4) consumer.disconnect();
          else if (choice < 0.7) void consumer.disconnectFor(500 + 12_000 * context.random.next());
          else if (choice < 0.85) {
            consumer.domain = randomElement(context, context.site.domains);
            consumer.disconnect('moved');
          } else {
            const topic = randomElement(context, [...consumer.want]);
            if (topic) {
              await consumer.unsubscribe(topic);
              void pause(context, 6_000 * context.random.next()).then(() => consumer.again(topic));
            }
          }
          await pause(context, 300);
        }
        await pause(context, 8_000);
      },
    },
  ],
  [
    'vanish',
    {
      site: CROWDED,
      faultPhaseMs: 40_000,
      faults: async (context) => {
        // Clients vanish without closing, 90 % of the streams are reset at once, clients move to other domains, and a store machine is killed
        // at that moment.
        const operator = context.crowd.operator;
        let counting = true;
        void (async () => {
          while (counting) {
            await pause(context, 120);
            void operator.count(randomElement(context, context.crowd.topics));
            void operator.count('u/0');
          }
        })();
        for (let i = 0; i < 3; i++) {
          const vanished = context.crowd.consumers.filter(() => context.random.next() < 0.25);
          context.note(`${vanished.length} phones vanish`);
          for (const consumer of vanished) consumer.vanish();
          await pause(context, 4_000);
          const node = randomElement(context, context.stores);
          context.note(`mass reset, and ${node.name} dies`);
          context.sim.resetStreams(0.9);
          context.sim.kill(node);
          await pause(context, 2_000);
          for (const consumer of context.crowd.consumers.filter((other) => !vanished.includes(other)).slice(0, 12)) {
            consumer.domain = randomElement(context, context.site.domains);
            consumer.disconnect('moved');
          }
          await context.sim.start(node);
          for (const consumer of vanished) consumer.start();
          await pause(context, 4_000);
        }
        counting = false;
      },
    },
  ],
  [
    'crowd',
    {
      faultPhaseMs: 15_000,
      faults: async (context) => {
        context.note('a crowd arrives at once');
        const extra = Array.from(
          { length: 240 },
          (_, i) =>
            new Consumer(
              context.clientContext,
              `crowd${i}`,
              randomElement(context, context.site.domains),
              [context.crowd.topics[i % context.crowd.topics.length]!, 'u/0'],
              { jitterMs: 50 },
            ),
        );
        for (const consumer of extra) consumer.start();
        await pause(context, 8_000);
        for (const consumer of extra.slice(0, 120)) consumer.stop();
        await pause(context, 3_000);
      },
    },
  ],
  [
    'overload',
    {
      faultPhaseMs: 30_000,
      faults: async (context) => {
        // Disks become so slow that publishes queue up. The queue limit is lowered meanwhile, so that a small deployment reaches it.
        const original = { ownerQueueLimit: SHARD.ownerQueueLimit };
        // The eight publishes that a pipelined sender has in progress would fill so small a queue alone.
        for (const sender of context.crowd.senders) if (sender instanceof PipelinedSender) sender.stop();
        const seen = context.clientContext.journal.seen;
        try {
          for (const node of context.disks) node.kernel!.use('owner').resizePublishQueue(8);
          for (const node of context.disks) node.diskMs = 250;
          const floodSenders = Array.from(
            { length: 30 },
            (_, i) =>
              new Sender(
                context.clientContext,
                `flood${i}`,
                randomElement(context, context.site.domains),
                context.crowd.topics.filter((_, j) => j % 30 === i),
                60,
                { triesN: 12 },
              ),
          );
          const firstEvent = seen.length;
          for (const sender of floodSenders) sender.start();
          await pause(context, 9_000);
          for (const sender of floodSenders) sender.stop();
          const rejectedShare = (prefix: string): number => {
            const answers = seen
              .slice(firstEvent)
              .filter((event) => event.k === 'pub.answer' && event.topic.startsWith(prefix));
            return (
              answers.filter((event) => event.k === 'pub.answer' && event.out === 'rejected').length /
              Math.max(1, answers.length)
            );
          };
          const prefix = (urgency: string): string =>
            context.site.families.find((family) => family.urgency === urgency)!.prefix;
          const [urgentShare, routineShare] = [rejectedShare(prefix('urgent')), rejectedShare(prefix('routine'))];
          context.note(
            `rejected: urgent ${(100 * urgentShare).toFixed(1)} %, routine ${(100 * routineShare).toFixed(1)} %`,
          );
          if (routineShare === 0) throw new Error('no publish was rejected: the scenario did not cause its fault');
          if (urgentShare > routineShare / 2)
            throw new Error(
              `rejected share of urgent publishes is ${urgentShare.toFixed(3)}, over half of the ${routineShare.toFixed(3)} of routine ones`,
            );
        } finally {
          for (const node of context.disks) {
            node.diskMs = 2;
            node.kernel?.use('owner').resizePublishQueue(original.ownerQueueLimit);
          }
        }
        await pause(context, 6_000);
      },
    },
  ],
];
