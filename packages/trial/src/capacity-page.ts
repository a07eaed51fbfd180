import type { Measured } from './capacity-data.js';
export function pageOf(m: Measured): string { return String(m.series.length); }
export function plotsOf(_m: Measured): Map<string, string> { return new Map(); }
