/** Deployments for particular scenarios, and helpers for all of them. */
import { sleep } from '@harecross/kernel';
import { SMALL, type DeploymentSpec, type ScenarioContext } from '../scenario.js';

export const SIX_DISKS: DeploymentSpec = { ...SMALL, name: 'six-disks', relayDisks: 3 };
export const EIGHT_DISKS: DeploymentSpec = { ...SMALL, name: 'eight-disks', stores: 4, relayDisks: 4 };
/** Topics with 0, 1, 5 and more than 50 listeners. */
export const CROWDED: DeploymentSpec = { ...SMALL, name: 'crowded', consumers: 60 };
/** A random element, by the random numbers of the scenario. */
export const randomElement = <T>(context: ScenarioContext, items: T[]): T =>
  items[Math.floor(context.random.next() * items.length)]!;
/** Waits in virtual time. */
export const pause = (context: ScenarioContext, ms: number): Promise<void> => sleep(context.sim.clock, ms);
