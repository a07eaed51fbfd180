import { plantTests } from './plant-tests.js';

plantTests(2, 3);
