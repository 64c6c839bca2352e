#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/case-15
[ -x "$program" ] && [ -x target/bin/boragefrontd ] || exit 2
work=$(mktemp -d) || exit 2
timeout -k 5 110 "$program" "$work"
status=$?
cp "$work/record.txt" review/15/record.txt 2>/dev/null
if [ -n "${KEEP_LOG:-}" ]; then cp "$work"/*.log "$KEEP_LOG"; fi
rm -rf "$work"
[ "$status" -le 1 ] || exit 2
exit "$status"
