/** Durable state on a node's disk. */
export * from './disk-clock.js';
export * from './durable-state.js';
export * from './fence.js';
export * from './history-reader.js';
export * from './replica.js';
export { TABLES, createTables } from './tables.js';
