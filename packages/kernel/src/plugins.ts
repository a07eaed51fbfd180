/** Plug-ins: each sets up one service of a node, once, after the services it depends on. */
import type { Kernel } from './kernel.js';

/** The services of a node by name. Plug-ins add theirs by declaration merging, which gives `Kernel.use` its types. */
export interface ServiceRegistry {}

/** Sets up one service of a node. */
export interface Plugin<K extends keyof ServiceRegistry = keyof ServiceRegistry> {
  name: K;
  /** Services that must be set up before this one. */
  needs: (keyof ServiceRegistry)[];
  setup(kernel: Kernel): ServiceRegistry[K] | Promise<ServiceRegistry[K]>;
}

const registeredPlugins = new Map<string, Plugin<never>>();

/**
 * Registers a plug-in; called when its module loads. A program selects by name which plug-ins it runs.
 * @example
 * registerPlugin({ name: 'membership', needs: [], setup: (kernel) => new MembershipTable(kernel) });
 */
export function registerPlugin<K extends keyof ServiceRegistry>(plugin: Plugin<K>): void {
  registeredPlugins.set(plugin.name, plugin as unknown as Plugin<never>);
}

/** Returns the plug-in of this name. Throws if none is registered. */
export function getPlugin(name: string): Plugin<never> {
  const plugin = registeredPlugins.get(name);
  if (!plugin) throw new Error(`plug-in ${name} is not registered`);
  return plugin;
}
