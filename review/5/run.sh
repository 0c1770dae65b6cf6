#!/bin/sh
# Plays the case. Exit code 0: the rule held, 1: it was broken, 2: the case could not run.
# TROUBLE=0 plays it without the disruption. Build before: the deploy file's build, and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review/kit ] || [ ! -x target/release/bluebell-ingress ]; then
    echo "NOT RUN: build first"
    exit 2
fi
exec target/review/kit kept-too-long review/5
