#!/bin/sh
# Builds the scripts' stand-ins of the third review, after the build of the
# deploy file. Needs its packages only.
set -eu
cd "$(dirname "$0")/.."
out=build-review-3
mkdir -p "$out"
for source in review/1[1-5]/case.c; do
    [ -f "$source" ] || continue
    name=$(basename "$(dirname "$source")")
    gcc -std=gnu11 -O2 -Wall -Wextra -Werror -o "$out/case-$name" "$source" \
        review/stand-3/stand.c -ljansson -lpthread
done
