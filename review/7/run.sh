#!/bin/sh
# The store turns two nodes away while the others restart.
# Needs target/toucansessiond (build of the deploy file) and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases ] && [ -x target/toucansessiond ] || exit 2
exec target/review-2/cases stale-store review/7/record.txt
