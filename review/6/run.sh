#!/bin/sh
# Plays the case: exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. TROUBLE=0 plays it undisturbed;
# --seed N, 1 if none is given, sets the random seeds of the relays.
cd "$(dirname "$0")" || exit 2
CASE_FOLDER=$(pwd)
export CASE_FOLDER
[ -x ../../bin/review-6 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec ../../bin/review-6 "$@"
