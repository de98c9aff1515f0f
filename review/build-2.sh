#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start: stand-ins in plain Python, which
# use the standard library alone. The daemons come from the build of the deploy file.
cd "$(dirname "$0")" && python3 -m compileall -q lab 6 7 8 9 10
