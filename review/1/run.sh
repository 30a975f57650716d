#!/usr/bin/env bash
# Plays the case "cut-short". Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 plays it without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
for program in target/release/croftsill target/review/standins; do
    [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
folder=$(mktemp -d) || exit 2
play=
end() {
    # The stand-ins end their processes themselves. What is left where they were ended early is ended here, if it still is theirs.
    if [ -n "$play" ] && kill -TERM "$play" 2>/dev/null; then wait "$play"; fi
    if [ -f "$folder/pids" ]; then
        while read -r pid; do
            [ "$(readlink "/proc/$pid/exe")" = "$(readlink -f target/release/croftsill)" ] && kill -KILL "$pid" 2>/dev/null
        done <"$folder/pids"
    fi
    rm -rf "$folder"
}
trap end EXIT
trap 'exit 2' HUP INT TERM
timeout --signal=TERM 116 target/review/standins cut-short "${TROUBLE:-1}" "$folder" "$here/record.txt" &
play=$!
wait "$play"
code=$?
play=
[ "$code" -le 1 ] || code=2
exit "$code"
