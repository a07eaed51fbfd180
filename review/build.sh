#!/usr/bin/env bash
# The stand-ins are plain JavaScript modules for Node and need no build: this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for f in lib/*.mjs [0-9]/*.mjs; do node --check "$f"; done
