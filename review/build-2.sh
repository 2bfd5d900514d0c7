#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10. The libraries
# are those of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
# shellcheck disable=SC2046
gcc -std=c11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Werror \
    review/standin-2/standin.c review/standin-2/cases.c \
    -o target/review-2/cases \
    $(pkg-config --cflags --libs glib-2.0 libuv jansson)
