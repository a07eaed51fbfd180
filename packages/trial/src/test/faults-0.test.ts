import { faultTests } from './fault-tests.js';

faultTests(0, 4);
