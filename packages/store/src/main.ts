#!/usr/bin/env node
import '@harecross/control';
import { runNode } from '@harecross/data';
import { parseNodeFlags } from '@harecross/kernel';

const { file, flags } = parseNodeFlags('store', process.argv.slice(2));
await runNode('store', file, flags);
