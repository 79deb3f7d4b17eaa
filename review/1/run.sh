#!/usr/bin/env bash
# Shows the case of claim.txt and writes record.txt beside it; run review/build.sh first. TROUBLE=0 leaves the
# disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
java -Xmx256m -cp 'target/review:target/lib/*' review.ResetEarlyAnswer "$folder/record.txt" "$work"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
