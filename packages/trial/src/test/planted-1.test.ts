import { plantTests } from './plant-tests.js';

plantTests(1, 3);
