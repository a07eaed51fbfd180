import { plantTests } from './plant-tests.js';

plantTests(0, 3);
