#!/usr/bin/env node
// Committed, so that installing links it before the build has made dist.
import '../dist/main.js';
