/** A day of drawn troubles in the simulator, on the shape of a deployment. */
import { runScenario, weakReplicaSets, type ScenarioResult, type Scenario, type ScenarioContext } from '../scenario.js';
import { MarkerChecker } from '../simulated-clients.js';
import { seededRandom } from '../sim.js';
import type { Deployment } from './deployment.js';
import { siteOf } from './deployment.js';
import { actionOf } from './fault-actions.js';
import { MachineFleet } from './machine-fleet.js';
import { Orders } from './platform-operators.js';
import type { ScheduledFault } from './schedule.js';
import { note, pause, type TroubleStage } from './fault-context.js';
import { LossBudget } from './loss-budget.js';

/** Clocks of the machines differ by up to this much. */
const SKEW_MS = 200;
/** Marker topics are asked for this often, at every access machine: often enough to see an old configuration at work. */
const MARKER_MS = 250;
/** The fleet is left alone for this long before it is judged whole. */
const QUIET_MS = 6_000;
/** Publishes of so long before the end of the day are counted, and this share of them must be accepted. */
const SERVED_MS = 3_000;
const SERVED_SHARE = 0.9;
/** A day lasts at least this long. */
const DAY_MS = 20_000;
/** On the way of an answer to its observer, on top of every bound. */
const WAY_MS = 250;

interface Parts {
  machines?: MachineFleet;
  orders?: Orders;
}

/** A day as the stage plays it. */
function dayOf(deployment: Deployment, troubles: readonly ScheduledFault[], log: boolean): Scenario {
  const parts: Parts = {};
  const site = siteOf(deployment);
  return {
    site,
    faultPhaseMs: DAY_MS,
    opts: { files: true, delayMs: [0.5, 4], log },
    bounds: { observationDelayMs: WAY_MS, timed: true, configInForceMs: deployment.applyMs },
    machines: async (sim) => {
      const machines = new MachineFleet(sim, deployment, SKEW_MS);
      parts.machines = machines;
      machines.begin();
      const nodes = (type: 'core' | 'store' | 'access') => machines.ofClass(type).flatMap((m) => m.nodes);
      const relays = [...nodes('core'), ...nodes('access')].filter((n) => n.config.role === 'relay');
      return { stores: nodes('store'), relays, disks: machines.counted().map((m) => m.main) };
    },
    first: (stage) => {
      parts.orders = new Orders(stage.clientContext, parts.machines!, site);
      // The day reads the newest configuration at its end; the platform's operator does so at a core machine.
      stage.crowd.operator = parts.orders.operator;
      return parts.orders.change();
    },
    faults: (stage) => playTroubles(stage, parts.machines!, parts.orders!, troubles),
  };
}

async function playTroubles(
  stage: ScenarioContext,
  machines: MachineFleet,
  orders: Orders,
  troubles: readonly ScheduledFault[],
): Promise<void> {
  const { losses, repairMs: syncMs } = machines.deployment;
  const s: TroubleStage = {
    stage,
    machines,
    orders,
    tolerance: new LossBudget(machines.sim.clock, losses, syncMs, () => {
      const { broken, thin } = weakReplicaSets(machines.sim, losses);
      if (broken.length) stage.note(`without a majority already: ${broken.join(', ')}`);
      else if (thin.length) stage.note(`do not bear the declared losses yet: ${thin.join(', ')}`);
    }),
  };
  const marker = watchMarkers(stage, orders);
  await Promise.all(
    troubles.map(async (trouble) => {
      await pause(s, trouble.at);
      await actionOf(trouble.kind)(s, trouble, seededRandom(trouble.victimSeed));
    }),
  );
  while (s.tolerance.count() > 0) await pause(s, 500);
  note(s, 'all troubles are over');
  await pause(s, QUIET_MS);
  judgeWhole(s);
  await orders.change('idle');
  marker.stop();
  machines.end();
}

/** After the last trouble every set has its majority again, bears the next loss, and clients are served. */
function judgeWhole(s: TroubleStage): void {
  const { broken, thin } = weakReplicaSets(s.machines.sim, s.machines.deployment.losses);
  if (broken.length) s.stage.reportViolation('lost', `no majority is left of ${broken.join(', ')}`);
  else if (thin.length) s.stage.reportViolation('lost', `the next loss would end the majority of ${thin.join(', ')}`);
  const { seen } = s.stage.clientContext.journal;
  const since = s.machines.sim.now - SERVED_MS;
  const answers = seen.filter((x) => x.k === 'pub.answer' && x.t > since && !x.topic.startsWith('mark/'));
  const accepted = answers.filter((x) => x.k === 'pub.answer' && x.out === 'accepted').length;
  if (accepted < answers.length * SERVED_SHARE || !accepted)
    s.stage.reportViolation('served', `${accepted} of ${answers.length} publishes were accepted at the end of the day`);
}

/** Asks every relay which configuration it serves by, all day. */
function watchMarkers(stage: ScenarioContext, orders: Orders): { stop(): void } {
  const marker = new MarkerChecker(stage.clientContext, MARKER_MS);
  marker.start(stage.relays.map((n) => n.config.client));
  let on = true;
  const follow = (): void => {
    marker.at = orders.mark;
    if (on) stage.sim.clock.after(MARKER_MS, follow);
  };
  follow();
  return {
    stop: () => {
      on = false;
      marker.stop();
    },
  };
}

/**
 * Plays a day with these troubles.
 * @example
 * const run = await playDay(7, DEPLOYMENTS.get('sss-control')!, drawSchedule(7, 6));
 */
export function runFaultSchedule(seed: number, deployment: Deployment, troubles: readonly ScheduledFault[], log = false): Promise<ScenarioResult> {
  return runScenario(seed, dayOf(deployment, troubles, log));
}
