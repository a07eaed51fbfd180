/** Durable state on a node's disk. */
export * from './durable-state.js';
export * from './fence.js';
export * from './replica.js';
