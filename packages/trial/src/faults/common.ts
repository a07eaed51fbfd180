/** Sites of the scenarios' own, and small helpers that all of them use. */
import { sleep } from '@harecross/kernel';
import { SMALL, type DeploymentSpec, type ScenarioContext } from '../scenario.js';

export const SIX_DISKS: DeploymentSpec = { ...SMALL, name: 'six-disks', relayDisks: 3 };
export const EIGHT_DISKS: DeploymentSpec = { ...SMALL, name: 'eight-disks', stores: 4, relayDisks: 4 };
/** Topics with 0, 1, 5 and more than 50 listeners. */
export const CROWDED: DeploymentSpec = { ...SMALL, name: 'crowded', consumers: 60 };
/** One of these, by the stage's random numbers. */
export const any = <T>(s: ScenarioContext, xs: T[]): T => xs[Math.floor(s.random.next() * xs.length)]!;
/** Lets virtual time pass. */
export const pause = (s: ScenarioContext, ms: number): Promise<void> => sleep(s.sim.clock, ms);
