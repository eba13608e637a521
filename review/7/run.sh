#!/bin/bash
# Runs the case `head-answers`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -m
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
driver=target/review-2/release/standin-2
if [ ! -x "$driver" ] || [ ! -x target/release/chervilwind ]; then
    echo "build the program and run review/build-2.sh first" >&2
    exit 2
fi
dir=$(mktemp -d) || exit 2
group=
end() {
    [ -n "$group" ] && kill -KILL -- "-$group" 2>/dev/null
    rm -rf "$dir"
}
trap end EXIT
trap 'exit 2' INT TERM HUP
# The driver and all that it starts are one process group, which ends with this script.
STANDIN_DIR="$dir" timeout -k 2 110 "$driver" head-answers >"$dir/record.txt" 2>&1 &
group=$!
wait "$group"
verdict=$?
cp "$dir/record.txt" "$here/record.txt"
tail -n 8 "$dir/record.txt"
case $verdict in
0 | 1) exit "$verdict" ;;
*) exit 2 ;;
esac
