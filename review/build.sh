#!/usr/bin/env bash
# Builds what the cases start beside the programs of the deploy file: the case programs, which hold all stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
for folder in review/[0-9]; do
	go build -o "bin/review-$(basename "$folder")" "./$folder"
done
