import { faultTests } from './fault-tests.js';

faultTests(1, 4);
