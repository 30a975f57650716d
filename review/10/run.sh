#!/bin/bash
# Plays the case "gone" of review/standins-2 against the program that the deploy file builds. Exits with 1 if the rule was broken, 0
# if it held, 2 if the case could not run. With TROUBLE=0 the disruption is left out. What was sent, answered and run is written to
# record.txt beside this script. It ends all that it starts.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$here/../.." || exit 2
cases=target/review-2/cases
rm -f "$here/record.txt"
if [ ! -x "$cases" ] || [ ! -x target/release/croftsill ]; then
    echo "build first: the build line of deploy/balancer.toml, then review/build-2.sh"
    exit 2
fi
folder=$(mktemp -d) || exit 2
play=
end() {
    # The stand-ins end their own processes. If this script is ended early, it ends them and what they started, by their ids.
    if [ -n "$play" ]; then
        kill -KILL "$play"
        while read -r pid; do
            [ "$(readlink "/proc/$pid/exe")" = "$(readlink -f target/release/croftsill)" ] && kill -KILL "$pid"
        done <"$folder/pids"
    fi
    rm -rf "$folder"
}
trap end EXIT
trap 'exit 2' HUP INT TERM
TMPDIR=$folder "$cases" gone "$here/record.txt" &
play=$!
wait "$play"
code=$?
play=
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
