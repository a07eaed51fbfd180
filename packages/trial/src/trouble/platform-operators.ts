/** The platform's operators: they call the core machines of a list that lags, and their acknowledgements may be lost. */
import type { FleetConfig } from '@harecross/schema';
import { Operator, type ClientTransport, type ClientContext } from '../simulated-clients.js';
import { fleetConfigOf, type DeploymentSpec } from '../scenario.js';
import type { Machine, MachineFleet } from './machine-fleet.js';

/** Revisions are assigned in steps, so that an unused lower one can be sent later. */
const REVISION_STEP = 10;

/** How a change differs from the one before. */
export type ChangeKind = 'route' | 'timeout' | 'idle';

/** An acknowledgement or a read that a machine answered to an operator. */
export interface MachineAnswer {
  machine: Machine;
  at: number;
}

/**
 * The operators of a run.
 * @example
 * await operators.change('route');
 */
export class PlatformOperators {
  readonly operator: Operator;
  /** Number of the newest marker topic, which only the newest configuration has. */
  mark = 0;
  /** Share of acknowledgements that are lost on the way to the operator. */
  lostAckShare = 0;
  lastAck?: MachineAnswer;
  lastRead?: MachineAnswer;
  private revision = 0;
  private waiters: ((answer: MachineAnswer) => void)[] = [];
  private readonly transport: ClientTransport;

  constructor(
    private readonly world: ClientContext,
    private readonly machines: MachineFleet,
    private readonly site: DeploymentSpec,
  ) {
    this.transport = {
      ...world.clientTransport,
      nodes: () => machines.listedCoreMachines().map((m) => m.main.config.client),
      visit: (node, method, body, timeoutMs) => this.visit(node, method, body, timeoutMs),
    };
    this.operator = new Operator({ ...world, clientTransport: this.transport }, 'op');
  }

  private async visit(
    node: string,
    method: string,
    body: unknown,
    timeoutMs: number,
  ): ReturnType<ClientTransport['visit']> {
    const answer = await this.world.clientTransport.visit(node, method, body, timeoutMs);
    const machine = this.machines.machineOfClient(node);
    if (!machine || answer?.status !== 200) return answer;
    const seen = { machine, at: this.world.clock.now() };
    if (method === 'ReadConfig') this.lastRead = seen;
    if (method !== 'SubmitConfig') return answer;
    this.lastAck = seen;
    for (const waiter of this.waiters.splice(0)) waiter(seen);
    return this.world.random.next() < this.lostAckShare ? undefined : answer;
  }

  /** Resolves at the next acknowledgement of a change, whether it reaches the operator or not. */
  nextAck(): Promise<MachineAnswer> {
    return new Promise((resolve) => {
      this.waiters.push(resolve);
    });
  }

  /** A configuration with all topics of the deployment and a new marker topic. */
  private nextConfig(kind: ChangeKind): FleetConfig {
    const mark = ++this.mark;
    const { families } = fleetConfigOf(this.site);
    const varied = families.map((family) =>
      kind === 'timeout' ? { ...family, patienceMs: family.patienceMs + mark } : family,
    );
    if (kind === 'route')
      varied.push({
        name: `extra${mark}`,
        topics: [`extra${mark}/*`],
        urgency: 'routine',
        patienceMs: 2_000,
        memoryS: 30,
      });
    varied.push({
      name: 'mark',
      topics: [`mark/${mark}`],
      precedence: mark,
      patienceMs: 1_000,
      memoryS: 5,
      order: 'topic',
    });
    return { families: varied };
  }

  /** Submits a valid change with the next revision until it has a definite answer; first to one machine, if one is given. */
  change(kind: ChangeKind = 'idle', first?: { machine: Machine; tries: number }): Promise<{ out: string }> {
    this.revision += REVISION_STEP;
    const { revision } = this;
    const operator = first ? this.operatorStartingAt(first.machine, first.tries) : this.operator;
    return operator.revise(revision, this.nextConfig(kind), true, { revision, kind });
  }

  /** An operator whose first `tries` attempts go to one machine. */
  private operatorStartingAt(machine: Machine, tries: number): Operator {
    let left = tries;
    const nodes = (): string[] => (left-- > 0 ? [machine.main.config.client] : this.transport.nodes());
    return new Operator({ ...this.world, clientTransport: { ...this.transport, nodes } }, 'op');
  }

  /** Submits a configuration that must not come into force; `how` as in the platform's `bad_config`. */
  async submitInvalid(how: string): Promise<void> {
    if (how === 'old_version') {
      const revision = this.revision - 1 - Math.floor(this.world.random.next() * (REVISION_STEP - 2));
      await this.operator.revise(revision, fleetConfigOf(this.site), true, { revision });
      return;
    }
    this.revision += REVISION_STEP;
    const { revision } = this;
    await this.operator.revise(revision, invalidConfig(how, this.site), false, { revision });
  }
}

/** A configuration that every node must reject. */
function invalidConfig(how: string, site: DeploymentSpec): unknown {
  const { families } = fleetConfigOf(site);
  switch (how) {
    case 'no_timeout':
      return { families: families.map(({ patienceMs: _patience, ...family }) => family) };
    case 'same_place':
      return { families: [...families, { ...families[0]!, patienceMs: 1_234 }] };
    default:
      return { families: [{ name: families[0]!.name }] };
  }
}
