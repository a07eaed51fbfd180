#!/usr/bin/env node
import '@harecross/control';
import { runNode } from '@harecross/data';
import { parseNodeFlags } from '@harecross/kernel';

const { file, flags } = parseNodeFlags('relay', process.argv.slice(2));
await runNode('relay', file, flags);
