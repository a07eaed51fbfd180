export * from './board.js';
export * from './eras.js';
export * from './text.js';
export * from './register.js';
export * from './keeper.js';
export * from './placement.js';
