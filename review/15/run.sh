#!/bin/sh
# Plays the case with the stand-in of review/build-3.sh; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/stand ] || exit 2
exec target/review-3/stand overflow review/15
