import { faultTests } from './fault-tests.js';

faultTests(3, 4);
