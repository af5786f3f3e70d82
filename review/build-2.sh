#!/bin/sh
# Builds what the scripts of the second review start, into target/review-2.
# Run it in the project's root, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c11 -D_GNU_SOURCE -O1 -Wall -Wextra -Werror"
for stand_in in runner fragile; do
  cc $flags -o "$out/$stand_in" "review/stand-2/$stand_in.c" \
    review/stand-2/stand.c -lpthread
done
for n in 6 7 8 9 10; do
  cc $flags -o "$out/case-$n" "review/$n/case.c" review/stand-2/streams.c \
    review/stand-2/stand.c -lpthread
done
