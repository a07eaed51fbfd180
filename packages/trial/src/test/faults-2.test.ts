import { faultTests } from './fault-tests.js';

faultTests(2, 4);
