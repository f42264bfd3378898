#!/usr/bin/env bash
# The store comes back from a copy some seconds old, and the operator's next change is never applied.
exec bash "$(dirname "$0")/../case.sh" restored-store review/3/record.txt
