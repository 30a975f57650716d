#!/bin/bash
# Plays the case "upgrade" of review/standins-2 against the program that the deploy file builds. Exits with 1 if the rule was broken, 0
# if it held, 2 if the case could not run. With TROUBLE=0 the disruption is left out. The stand-ins end all that they start.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$here/../.." || exit 2
cases=target/review-2/cases
if [ ! -x "$cases" ] || [ ! -x target/release/croftsill ]; then
    echo "build first: the build line of deploy/balancer.toml, then review/build-2.sh"
    exit 2
fi
timeout -k 2 115 "$cases" upgrade "$here"
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
