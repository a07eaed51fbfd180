import { C, Kernel, diskUsesOf, loop, type DiskUse, type Faces, type Host, type Role } from '@harecross/kernel';
import { awayNow, type Condition } from '@harecross/control';
import type { Edge } from './edge.js';

/**
 * The plug-ins of a node by its role and disk.
 * @example
 * pluginsOf('relay', false); // ['board', 'register', 'route', 'sessions', 'operators', 'edge']
 */
export function pluginsOf(role: Role, disk: boolean, uses: DiskUse[] = ['seat', 'copies']): (keyof Faces)[] {
  return [
    ...(disk ? (['state'] as const) : []),
    'board',
    'register',
    ...(disk && uses.includes('seat') ? (['keeper'] as const) : []),
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
  const board = kernel.use('board');
  const reg = kernel.use('register');
  kernel.onStop(() => board.say({ condition: 'draining' }));
  const owner = kernel.has('owner') ? kernel.use('owner') : undefined;
  let illUntil = -Infinity;
  const condition = (): Condition => {
    if (!reg.fresh()) return 'joining';
    if (awayNow(reg.value, kernel.self)) return 'draining';
    if (owner?.forlorn()) illUntil = host.clock.now() + C.illMs;
    return host.clock.now() < illUntil ? 'ill' : 'ready';
  };
  const say = (): void => {
    if (kernel.phase === 'running') board.say({ condition: condition() });
  };
  kernel.keep(loop(host.clock, 200, host.rnd, async () => say()));
  kernel.keep(reg.fresh$.subscribe(say));
  return { kernel, edge: kernel.use('edge') };
}
