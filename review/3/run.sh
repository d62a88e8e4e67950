#!/bin/sh
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review-3 ] && [ -x bin/ploverreel ] || exit 2
exec bin/review-3 review/3
