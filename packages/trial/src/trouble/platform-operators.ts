/** The platform's operators: their calls go to the core machines that a late list shows, and their acknowledgements may be lost. */
import type { FleetConfig } from '@harecross/schema';
import { Operator, type ClientTransport, type ClientContext } from '../simulated-clients.js';
import { fleetConfigOf, type DeploymentSpec } from '../scenario.js';
import type { Machine, MachineFleet } from './machine-fleet.js';

/** Revisions are given in steps, so that an old one can be sent that nobody used. */
const REVISION_STEP = 10;

/** How a change differs from the one before. */
export type ChangeKind = 'route' | 'timeout' | 'idle';

/** What was observed on the operators' connections. */
export interface Acknowledged {
  machine: Machine;
  at: number;
}

/**
 * The operators of a day.
 * @example
 * await orders.change('route');
 */
export class Orders {
  readonly operator: Operator;
  /** The newest marker: the one that only the newest configuration has. */
  mark = 0;
  /** Share of the acknowledgements that get lost. */
  lostShare = 0;
  lastAck?: Acknowledged;
  lastRead?: Acknowledged;
  private revision = 0;
  private waiters: ((a: Acknowledged) => void)[] = [];
  private readonly way: ClientTransport;

  constructor(
    private readonly world: ClientContext,
    private readonly machines: MachineFleet,
    private readonly site: DeploymentSpec,
  ) {
    this.way = {
      ...world.clientTransport,
      nodes: () => machines.listed().map((m) => m.main.config.client),
      visit: (node, method, body, timeoutMs) => this.visit(node, method, body, timeoutMs),
    };
    this.operator = new Operator({ ...world, clientTransport: this.way }, 'op');
  }

  private async visit(node: string, method: string, body: unknown, timeoutMs: number): ReturnType<ClientTransport['visit']> {
    const answer = await this.world.clientTransport.visit(node, method, body, timeoutMs);
    const machine = this.machines.ofClient(node);
    if (!machine || answer?.status !== 200) return answer;
    const seen = { machine, at: this.world.clock.now() };
    if (method === 'ReadConfig') this.lastRead = seen;
    if (method !== 'SubmitConfig') return answer;
    this.lastAck = seen;
    for (const waiter of this.waiters.splice(0)) waiter(seen);
    return this.world.random.next() < this.lostShare ? undefined : answer;
  }

  /** The next acknowledgement of a change, whether it reaches its operator or not. */
  nextAck(): Promise<Acknowledged> {
    return new Promise((resolve) => {
      this.waiters.push(resolve);
    });
  }

  /** A configuration that keeps all topics of the site, with a marker of its own. */
  private configuration(kind: ChangeKind): FleetConfig {
    const mark = ++this.mark;
    const { families } = fleetConfigOf(this.site);
    const varied = families.map((f) => (kind === 'timeout' ? { ...f, patienceMs: f.patienceMs + mark } : f));
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

  /** A valid change with the next revision, sent until it has a clear answer; first to one machine, if one is given. */
  change(kind: ChangeKind = 'idle', first?: { machine: Machine; tries: number }): Promise<{ out: string }> {
    this.revision += REVISION_STEP;
    const { revision } = this;
    const operator = first ? this.operatorWith(first.machine, first.tries) : this.operator;
    return operator.revise(revision, this.configuration(kind), true, { revision, kind });
  }

  /** An operator that goes to one machine with its first tries. */
  private operatorWith(machine: Machine, tries: number): Operator {
    let left = tries;
    const nodes = (): string[] => (left-- > 0 ? [machine.main.config.client] : this.way.nodes());
    return new Operator({ ...this.world, clientTransport: { ...this.way, nodes } }, 'op');
  }

  /** An order that must not come into force; `how` as in the platform's `bad_config`. */
  async bad(how: string): Promise<void> {
    if (how === 'old_version') {
      const revision = this.revision - 1 - Math.floor(this.world.random.next() * (REVISION_STEP - 2));
      await this.operator.revise(revision, fleetConfigOf(this.site), true, { revision });
      return;
    }
    this.revision += REVISION_STEP;
    const { revision } = this;
    await this.operator.revise(revision, badConfiguration(how, this.site), false, { revision });
  }
}

/** A configuration that no node may take. */
function badConfiguration(how: string, site: DeploymentSpec): unknown {
  const { families } = fleetConfigOf(site);
  switch (how) {
    case 'no_timeout':
      return { families: families.map(({ patienceMs: _patience, ...f }) => f) };
    case 'same_place':
      return { families: [...families, { ...families[0]!, patienceMs: 1_234 }] };
    default:
      return { families: [{ name: families[0]!.name }] };
  }
}
