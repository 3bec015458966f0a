#!/bin/sh
# The stand-ins of the scripts need no build: they use Python 3.11 and its standard library only.
# This checks that they can be loaded. The nodes are built by the command of the deploy file.
set -eu
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import tomllib, sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
for file in common/standins.py [1-5]/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
echo "the stand-ins are ready"
