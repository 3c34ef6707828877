#!/bin/sh
# Builds the stand-ins of the cases. They are Python modules of the standard library's means alone, run by
# the interpreter that the deploy file's build has made, so this only checks that each one can be parsed.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || { echo "the deploy file's build has not run" >&2; exit 2; }
for file in review/stand_ins/*.py review/[0-9]/*.py; do
    .venv/bin/python -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
