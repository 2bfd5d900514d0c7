#!/bin/sh
# The store turns two nodes away, which go on with a primary that was replaced.
# Needs target/toucansessiond (build of the deploy file) and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases ] && [ -x target/toucansessiond ] || exit 2
exec target/review-2/cases one review/6/record.txt
