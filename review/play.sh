#!/usr/bin/env bash
# Plays one case: play.sh NUMBER. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
timeout --kill-after=5 115 python3 "review/$1/case.py"
case $? in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
