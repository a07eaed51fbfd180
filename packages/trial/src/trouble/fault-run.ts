/** A simulated run with a schedule of random faults, on the machines of a deployment. */
import { runScenario, weakReplicaSets, type ScenarioResult, type Scenario, type ScenarioContext } from '../scenario.js';
import { MarkerChecker } from '../simulated-clients.js';
import { seededRandom } from '../sim.js';
import type { Deployment } from './deployment.js';
import { deploymentSpecOf } from './deployment.js';
import { actionOf } from './fault-actions.js';
import { MachineFleet } from './machine-fleet.js';
import { PlatformOperators } from './platform-operators.js';
import type { ScheduledFault } from './schedule.js';
import { note, pause, type FaultContext } from './fault-context.js';
import { LossBudget } from './loss-budget.js';

/** Clocks of the machines differ by up to this much. */
const SKEW_MS = 200;
/** Polling interval of the marker topics on every relay: short enough to see a node that serves by an old configuration. */
const MARKER_POLL_MS = 250;
/** Time without faults before the fleet is checked for full redundancy. */
const QUIET_MS = 6_000;
/** Of the publishes in this time before the end of the run, this share must be accepted. */
const SERVED_WINDOW_MS = 3_000;
const SERVED_SHARE = 0.9;
/** Minimum length of the part with faults. */
const FAULT_PHASE_MS = 20_000;
/** Added to every time limit, for the time an answer takes to reach the observer. */
const OBSERVATION_DELAY_MS = 250;

interface RunParts {
  machines?: MachineFleet;
  operators?: PlatformOperators;
}

/** The scenario that creates the machines of the deployment and injects the faults. */
function scenarioOf(deployment: Deployment, faults: readonly ScheduledFault[], log: boolean): Scenario {
  const parts: RunParts = {};
  const site = deploymentSpecOf(deployment);
  return {
    site,
    faultPhaseMs: FAULT_PHASE_MS,
    opts: { files: true, delayMs: [0.5, 4], log },
    bounds: { observationDelayMs: OBSERVATION_DELAY_MS, timed: true, configInForceMs: deployment.applyMs },
    machines: async (sim) => {
      const machines = new MachineFleet(sim, deployment, SKEW_MS);
      parts.machines = machines;
      machines.startAll();
      const nodes = (type: 'core' | 'store' | 'access') => machines.ofClass(type).flatMap((machine) => machine.nodes);
      const relays = [...nodes('core'), ...nodes('access')].filter((node) => node.config.role === 'relay');
      return { stores: nodes('store'), relays, disks: machines.counted().map((machine) => machine.main) };
    },
    first: (scenario) => {
      parts.operators = new PlatformOperators(scenario.clientContext, parts.machines!, site);
      // The run reads the newest configuration at its end; on the platform, operators read it from a core machine.
      scenario.crowd.operator = parts.operators.operator;
      return parts.operators.change();
    },
    faults: (scenario) => injectFaults(scenario, parts.machines!, parts.operators!, faults),
  };
}

async function injectFaults(
  scenario: ScenarioContext,
  machines: MachineFleet,
  operators: PlatformOperators,
  faults: readonly ScheduledFault[],
): Promise<void> {
  const { losses, repairMs: syncMs } = machines.deployment;
  const context: FaultContext = {
    scenario,
    machines,
    operators,
    lossBudget: new LossBudget(machines.sim.clock, losses, syncMs, () => {
      const { broken, thin } = weakReplicaSets(machines.sim, losses);
      if (broken.length) scenario.note(`without a majority already: ${broken.join(', ')}`);
      else if (thin.length) scenario.note(`do not bear the declared losses yet: ${thin.join(', ')}`);
    }),
  };
  const marker = pollMarkers(scenario, operators);
  await Promise.all(
    faults.map(async (fault) => {
      await pause(context, fault.at);
      await actionOf(fault.kind)(context, fault, seededRandom(fault.victimSeed));
    }),
  );
  while (context.lossBudget.count() > 0) await pause(context, 500);
  note(context, 'all troubles are over');
  await pause(context, QUIET_MS);
  checkRecovered(context);
  await operators.change('idle');
  marker.stop();
  machines.stopSupervision();
}

/** After the last fault every replica set has its majority again and can lose as many members as declared, and clients are served. */
function checkRecovered(context: FaultContext): void {
  const { broken, thin } = weakReplicaSets(context.machines.sim, context.machines.deployment.losses);
  if (broken.length) context.scenario.reportViolation('lost', `no majority is left of ${broken.join(', ')}`);
  else if (thin.length)
    context.scenario.reportViolation('lost', `the next loss would end the majority of ${thin.join(', ')}`);
  const { seen } = context.scenario.clientContext.journal;
  const since = context.machines.sim.now - SERVED_WINDOW_MS;
  const answers = seen.filter(
    (event) => event.k === 'pub.answer' && event.t > since && !event.topic.startsWith('mark/'),
  );
  const accepted = answers.filter((event) => event.k === 'pub.answer' && event.out === 'accepted').length;
  if (accepted < answers.length * SERVED_SHARE || !accepted)
    context.scenario.reportViolation(
      'served',
      `${accepted} of ${answers.length} publishes were accepted at the end of the day`,
    );
}

/** Polls marker topics on every relay during the whole run, to see which configuration it serves by. */
function pollMarkers(scenario: ScenarioContext, operators: PlatformOperators): { stop(): void } {
  const marker = new MarkerChecker(scenario.clientContext, MARKER_POLL_MS);
  marker.start(scenario.relays.map((node) => node.config.client));
  let on = true;
  const follow = (): void => {
    marker.at = operators.mark;
    if (on) scenario.sim.clock.after(MARKER_POLL_MS, follow);
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
 * Runs the deployment in the simulator with these faults.
 * @example
 * const run = await runFaultSchedule(7, DEPLOYMENTS.get('sss-control')!, drawSchedule(7, 6));
 */
export function runFaultSchedule(
  seed: number,
  deployment: Deployment,
  faults: readonly ScheduledFault[],
  log = false,
): Promise<ScenarioResult> {
  return runScenario(seed, scenarioOf(deployment, faults, log));
}
