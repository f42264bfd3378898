#!/usr/bin/env bash
# All upstreams of a service crash at once, and the request that they ran is refused from then on.
exec bash "$(dirname "$0")/../case.sh" popular-request review/2/record.txt
