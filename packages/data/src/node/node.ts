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
 * The plug-ins of a node, by its role, whether it has a disk and what the disk is used for.
 * @example
 * pluginsOf('relay', false); // ['membership', 'register', 'route', 'sessions', 'operators', 'edge']
 */
export function pluginsOf(
  role: Role,
  hasDisk: boolean,
  uses: DiskUse[] = ['seat', 'copies'],
): (keyof ServiceRegistry)[] {
  return [
    ...(hasDisk ? (['state'] as const) : []),
    'membership',
    'register',
    ...(hasDisk ? (['departure'] as const) : []),
    ...(hasDisk && uses.includes('seat') ? (['controller'] as const) : []),
    ...(hasDisk && uses.includes('copies') ? (['copies', 'owner'] as const) : []),
    'route',
    ...(role === 'relay' ? (['sessions'] as const) : []),
    'operators',
    'edge',
  ];
}

/**
 * Starts a node of the fleet on the given host. Used by both the programs and the simulator.
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
  let unhealthyUntil = -Infinity;
  const currentCondition = (): MemberCondition => {
    if (!register.hasReadLease()) return 'joining';
    if (isInPlannedRestart(register.value, kernel.self)) return 'draining';
    if (owner?.isIsolated()) unhealthyUntil = host.clock.now() + SHARD.unhealthyMs;
    return host.clock.now() < unhealthyUntil ? 'ill' : 'ready';
  };
  const publishCondition = (): void => {
    if (kernel.phase === 'running') membership.updateOwnState({ condition: currentCondition() });
  };
  kernel.addSubscription(runPeriodically(host.clock, 200, host.random, async () => publishCondition()));
  kernel.addSubscription(register.readLeaseStarted$.subscribe(publishCondition));
  return { kernel, edge: kernel.use('edge') };
}
