/** Sites of the scenarios' own, and small helpers that all of them use. */
import { sleep } from '@harecross/kernel';
import { SMALL, type Site, type Stage } from '../scenario.js';

export const SIX_DISKS: Site = { ...SMALL, name: 'six-disks', relayDisks: 3 };
export const EIGHT_DISKS: Site = { ...SMALL, name: 'eight-disks', stores: 4, relayDisks: 4 };
/** Topics with 0, 1, 5 and more than 50 listeners. */
export const CROWDED: Site = { ...SMALL, name: 'crowded', consumers: 60 };
/** One of these, by the stage's random numbers. */
export const any = <T>(s: Stage, xs: T[]): T => xs[Math.floor(s.random.next() * xs.length)]!;
/** Lets virtual time pass. */
export const pause = (s: Stage, ms: number): Promise<void> => sleep(s.sim.clock, ms);
