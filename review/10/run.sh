#!/bin/sh
# Runs this case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 runs it
# without the disruption. What was sent, answered and run is in record.txt.
exec sh "$(dirname "$0")/../standin-2/run.sh" 10
