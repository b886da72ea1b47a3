#!/bin/sh
# Runs the scenario and writes record.txt. Exit codes: 1 the rule was broken, 0 it held, 2 the case
# could not run. TROUBLE=0 leaves the disruption out. Build first: the deploy file's build, then
# review/build.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review/standins ] && [ -x target/release/magnoliahatch-front ] || exit 2
exec target/review/standins lost-commit target/release/magnoliahatch-front "$here/record.txt"
