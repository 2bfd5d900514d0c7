#!/bin/sh
# Builds the stand-ins and the cases' programs into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
packages="glib-2.0 libuv jansson"
# shellcheck disable=SC2046
for case in review/[0-9]*/case.c; do
    [ -f "$case" ] || continue
    name=$(basename "$(dirname "$case")")
    cc -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -Ireview/standin \
        $(pkg-config --cflags $packages) -o "target/review/case-$name" \
        "$case" review/standin/*.c $(pkg-config --libs $packages)
done
