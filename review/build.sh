#!/bin/bash
# The stand-ins of the scripts are Python 3.11 without further libraries: nothing is compiled. The project's own
# programs come from the build of the deploy file. This checks that both are there.
set -e
cd "$(dirname "$0")/.."
python3 -B -c 'import asyncio, tomllib'
test -f target/gingerspool.jar
