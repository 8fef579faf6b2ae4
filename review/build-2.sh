#!/bin/sh
# Builds what the scripts of the second review start beside the programs of the deploy file: nothing but
# Python files, which need no build. Checks that they can be loaded.
cd "$(dirname "$0")" || exit 1
exec python3 -B -c 'import platform2'
