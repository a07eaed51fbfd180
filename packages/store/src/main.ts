#!/usr/bin/env node
import '@harecross/control';
import { runNode } from '@harecross/data';
import { nodeFlags } from '@harecross/kernel';

const { file, flags } = nodeFlags('store', process.argv.slice(2));
await runNode('store', file, flags);
