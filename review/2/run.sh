#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
timeout 118 java -Xmx512m -cp target/review LongConfigurationCase "$PWD" "$PWD/review/2"
code=$?
[ $code -le 1 ] || exit 2
exit $code
