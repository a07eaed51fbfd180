export * from './query.js';
export * from './fleet-view.js';
export * from './placement-solver.js';
export * from './config-diff.js';
export * from './fleet-client.js';
