#!/bin/sh
# Runs case 10; see claim.txt. TROUBLE=0 runs it without the disruption.
exec "$(dirname "$0")/../standins-2/run-case.sh" 10
