import { writeFileSync } from 'node:fs';
import { emit } from './index.js';

writeFileSync(new URL('../harecross.schema.json', import.meta.url), emit());
