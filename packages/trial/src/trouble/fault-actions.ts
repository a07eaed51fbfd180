/** The actions of all kinds of faults, by name. */
import { LOSS_KINDS } from './loss-faults.js';
import { MACHINE_KINDS } from './machine-faults.js';
import { NETWORK_KINDS } from './network-faults.js';
import { OPERATOR_KINDS } from './operator-faults.js';
import type { FaultKind } from './schedule.js';
import type { FaultAction } from './fault-context.js';

const FAULT_ACTIONS: Partial<Record<FaultKind, FaultAction>> = {
  ...MACHINE_KINDS,
  ...LOSS_KINDS,
  ...NETWORK_KINDS,
  ...OPERATOR_KINDS,
};

/** The action of a kind; throws if it has none. */
export function actionOf(kind: FaultKind): FaultAction {
  const play = FAULT_ACTIONS[kind];
  if (!play) throw new Error(`no action for fault kind ${kind}`);
  return play;
}
