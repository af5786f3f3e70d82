#!/bin/sh
# Plays case 10, after the build of the deploy file and review/build-2.sh; see
# claim.txt.  Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-10 ] || exit 2
folder=$(mktemp -d) || exit 2
record=review/10/record.txt
: >"$record"
timeout -k 5 110 target/review-2/case-10 "$folder" "$record"
result=$?
rm -rf "$folder"
case $result in
0 | 1) exit $result ;;
*) exit 2 ;;
esac
