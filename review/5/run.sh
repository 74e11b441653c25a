#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not
# run.
exec "$(dirname "$0")/../play.sh" 5
