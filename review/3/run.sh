#!/bin/sh
# Plays the case of claim.txt; see there. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-cases ]; then
  echo "run review/build.sh first" >&2
  exit 2
fi
exec target/review-cases spoiled-event review/3/record.txt
