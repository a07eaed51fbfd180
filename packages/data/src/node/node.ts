import {
  Kernel,
  SHARD,
  diskUsesOf,
  runPeriodically,
  type DiskUse,
  type Host,
  type Role,
  type ServiceRegistry,
} from '@harecross/kernel';
import { isInPlannedRestart, type MemberCondition } from '@harecross/control';
import type { Edge } from '../gateway/edge.js';

/**
 * The plug-ins of a node by its role and disk.
 * @example
 * pluginsOf('relay', false); // ['membership', 'register', 'route', 'sessions', 'operators', 'edge']
 */
export function pluginsOf(role: Role, disk: boolean, uses: DiskUse[] = ['seat', 'copies']): (keyof ServiceRegistry)[] {
  return [
    ...(disk ? (['state'] as const) : []),
    'membership',
    'register',
    ...(disk ? (['departure'] as const) : []),
    ...(disk && uses.includes('seat') ? (['controller'] as const) : []),
    ...(disk && uses.includes('copies') ? (['copies', 'owner'] as const) : []),
    'route',
    ...(role === 'relay' ? (['sessions'] as const) : []),
    'operators',
    'edge',
  ];
}

/**
 * Boots a node of the fleet in the given surroundings; the programs and the simulator share it.
 * @example
 * const { kernel, edge } = await startNode(realHost(config));
 */
export async function startNode(host: Host): Promise<{ kernel: Kernel; edge: Edge }> {
  const kernel = new Kernel(host);
  await kernel.boot(pluginsOf(host.config.role, host.db !== undefined, diskUsesOf(host.config)));
  const membership = kernel.use('membership');
  const register = kernel.use('register');
  kernel.onStop(() => membership.updateOwnState({ condition: 'draining' }));
  const owner = kernel.has('owner') ? kernel.use('owner') : undefined;
  let illUntil = -Infinity;
  const condition = (): MemberCondition => {
    if (!register.hasReadLease()) return 'joining';
    if (isInPlannedRestart(register.value, kernel.self)) return 'draining';
    if (owner?.isIsolated()) illUntil = host.clock.now() + SHARD.unhealthyMs;
    return host.clock.now() < illUntil ? 'ill' : 'ready';
  };
  const say = (): void => {
    if (kernel.phase === 'running') membership.updateOwnState({ condition: condition() });
  };
  kernel.addSubscription(runPeriodically(host.clock, 200, host.random, async () => say()));
  kernel.addSubscription(register.readLeaseStarted$.subscribe(say));
  return { kernel, edge: kernel.use('edge') };
}
