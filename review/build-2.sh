#!/bin/sh
# Builds what the scripts of the second review start, into target/review-2.
# Run it in the project's root, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c11 -D_GNU_SOURCE -O1 -Wall -Wextra -Werror"
cc $flags -o "$out/runner" review/stand-2/runner.c review/stand-2/stand.c -lpthread
for n in 6 7 8 9 10; do
  cc $flags -o "$out/case-$n" "review/$n/case.c" review/stand-2/streams.c \
    review/stand-2/stand.c -lpthread
done
