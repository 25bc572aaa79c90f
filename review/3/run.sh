#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the same without the disruption. Build first: the deploy file's build, then review/build.sh.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
case_program="$root/target/review/release/silent_engine"
[[ -x "$case_program" ]] || { echo "not built: $case_program" >&2; exit 2; }
"$case_program" "$root" "$here/record.txt"
