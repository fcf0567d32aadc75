#!/bin/sh
# The stand-ins are Python 3 programs of its standard library: nothing to compile, so this checks that they can be read.
# The sidecar itself comes from the build of deploy/balancer.toml.
cd "$(dirname "$0")" || exit 2
for file in standins/*.py */case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
