// See claim.txt.
import { planned } from '../lib/planned.mjs';

process.exit(await planned(process.env.KIND ?? 'access', import.meta.dirname));
