export * from './query.js';
export * from './view.js';
export * from './place.js';
export * from './diff.js';
export * from './caller.js';
