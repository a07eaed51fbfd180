export * from './copies.js';
export * from './owner.js';
export * from './route.js';
export * from './holds.js';
export * from './edge.js';
export * from './node.js';
export * from './run.js';
