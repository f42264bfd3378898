#!/usr/bin/env bash
# The store comes back from a copy some seconds old, and the evacuation ordered afterwards is never followed.
exec bash "$(dirname "$0")/../case.sh" evacuated-zone review/3
