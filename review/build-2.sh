#!/bin/sh
# Builds the programs of the cases 6 to 10, stand-ins included, into bin/, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
for folder in review/6 review/7 review/8 review/9 review/10; do
	[ -d "$folder" ] || continue
	go build -o "bin/review-$(basename "$folder")" "./$folder"
done
