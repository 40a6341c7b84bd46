#!/bin/sh
# LOST: a stream of a machine that was told to stop is cut, because its runner paused.
cd "$(dirname "$0")" && exec python3 case.py
