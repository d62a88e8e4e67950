#!/bin/sh
# Builds the programs of the cases, with their stand-ins, into bin/. The deploy file's build comes
# before.
set -eu
cd "$(dirname "$0")"
mkdir -p ../bin
for case in [0-9]; do
	GOWORK=off GOFLAGS=-mod=mod go build -o "../bin/review-$case" "./$case"
done
