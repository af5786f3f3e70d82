#!/usr/bin/env bash
# Builds the stand-ins and cases of the third review into target/review-3/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3

# build NAME SOURCE...
build () {
  local name=$1
  shift
  cc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -pthread \
    -o "target/review-3/$name" "${@/#/review/stand-3/}" review/stand-3/stand.c
}

build case-poison case_poison.c fatal.c
build case-parts case_parts.c fatal.c
build case-tried case_tried.c
build case-unread case_unread.c kept.c
