/** Plug-ins: the services of a node, each set up once, after those that it needs. */
import type { Kernel } from './kernel.js';

/** The services of a node by name. Plug-ins add theirs by declaration merging, so that `Kernel.use` is typed. */
export interface ServiceRegistry {}

/** Sets up one service of a node. */
export interface Plugin<K extends keyof ServiceRegistry = keyof ServiceRegistry> {
  name: K;
  /** Services that are set up before. */
  needs: (keyof ServiceRegistry)[];
  setup(kernel: Kernel): ServiceRegistry[K] | Promise<ServiceRegistry[K]>;
}

const registeredPlugins = new Map<string, Plugin<never>>();

/**
 * Plug-ins call this when their module loads; a program picks by name which of them it runs.
 * @example
 * registerPlugin({ name: 'membership', needs: [], setup: (kernel) => new MembershipTable(kernel) });
 */
export function registerPlugin<K extends keyof ServiceRegistry>(plugin: Plugin<K>): void {
  registeredPlugins.set(plugin.name, plugin as unknown as Plugin<never>);
}

/** The plug-in of this name. Throws where none is registered. */
export function pluginNamed(name: string): Plugin<never> {
  const plugin = registeredPlugins.get(name);
  if (!plugin) throw new Error(`no plug-in ${name}`);
  return plugin;
}
