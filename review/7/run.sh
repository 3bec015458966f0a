#!/bin/sh
# Runs the case on loopback addresses; see claim.txt. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
stage=target/review-2/release/review-stage-2
if [ ! -x "$stage" ] || [ ! -x target/release/bulrushspread-node ]; then
    echo "not built: the build of deploy/system.toml, then review/build-2.sh" >&2
    exit 2
fi
exec "$stage" spoiled "$folder"
