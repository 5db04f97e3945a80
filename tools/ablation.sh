#!/usr/bin/env bash
# Scores sites with one mechanism of the request path disabled at a time, and once with none disabled,
# for the table in docs/POLICY.md. MECHANISMS overrides the list of mechanisms.
# Usage: tools/ablation.sh BENCH JOBS SITE...
# BENCH is the users' bench program, SITE a site file. Runs in a scratch clone of HEAD below $TMPDIR
# and copies the journal entries of its runs back. Prints one row per site and mechanism: the mean
# worth of the trouble and scale days, their mean shares of requests served and refused, the number
# of new connections on the standard days, the number of days and the gate's result.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 jobs=$2
shift 2
mechanisms="none choice subsets objective waiting yielding second-sends failure-memory locality return-times"
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git clone -q . "$scratch/repo"
for site in "$@"; do
	for mechanism in ${MECHANISMS:-$mechanisms}; do
		git -C "$scratch/repo" checkout -q -- deploy/system.toml
		if [ "$mechanism" != none ]; then
			echo "env = { FIREFLYCHUTE_WITHOUT = \"$mechanism\" }" >>"$scratch/repo/deploy/system.toml"
		fi
		(cd "$scratch/repo" && "$bench" score "$site" --jobs "$jobs" --why "ablation: without $mechanism") >"$scratch/output" 2>&1 || true
		cp -rn "$scratch/repo/journal/." journal/
		awk -v site="$(basename "$site" .toml)" -v mechanism="$mechanism" '
			/^(trouble|scale)-[0-9]+ +[0-9]+\/[0-9]+ / { worth += $4; served += $5; refused += $6; days++ }
			/^seen: .* new connections/ { connections = $2 }
			/BROKEN/ { broken++ }
			/^GATE/ { gate = $2 }
			END { printf "| %s | %s | %.3f | %.3f | %.3f | %d | %s |\n", site, mechanism, worth / days, served / days, refused / days, connections, gate }
		' "$scratch/output"
	done
done
