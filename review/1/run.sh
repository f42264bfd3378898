#!/usr/bin/env bash
# The configuration grows and changes often, and the memory of the reading nodes goes over the limit.
exec bash "$(dirname "$0")/../case.sh" many-changes review/1/record.txt
