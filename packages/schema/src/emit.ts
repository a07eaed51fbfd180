import { writeFileSync } from 'node:fs';
import { emit } from './openapi.js';

writeFileSync(new URL('../harecross.openapi.json', import.meta.url), emit());
