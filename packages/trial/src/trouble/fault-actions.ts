/** Every kind of trouble, by name. */
import { LOSS_KINDS } from './loss-faults.js';
import { MACHINE_KINDS } from './machine-faults.js';
import { NETWORK_KINDS } from './network-faults.js';
import { OPERATOR_KINDS } from './operator-faults.js';
import type { FaultKind } from './schedule.js';
import type { Play } from './fault-context.js';

const FAULT_ACTIONS: Partial<Record<FaultKind, Play>> = {
  ...MACHINE_KINDS,
  ...LOSS_KINDS,
  ...NETWORK_KINDS,
  ...OPERATOR_KINDS,
};

/** How a kind is played; throws for one that nobody plays. */
export function actionOf(kind: FaultKind): Play {
  const play = FAULT_ACTIONS[kind];
  if (!play) throw new Error(`nobody plays ${kind}`);
  return play;
}
