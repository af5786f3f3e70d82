#!/usr/bin/env bash
# Builds the stand-ins and cases of the third review into target/review-3/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
compile="cc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -pthread"
stand=review/stand-3
$compile -o target/review-3/case-poison $stand/case_poison.c $stand/stand.c
$compile -o target/review-3/case-bodies $stand/case_bodies.c $stand/kept.c \
  $stand/stand.c
$compile -o target/review-3/case-unread $stand/case_unread.c $stand/kept.c \
  $stand/stand.c
