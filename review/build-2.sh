#!/usr/bin/env bash
# Builds the program that plays the scripts of the second review: callers, servers and the platform.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-stand2 ./review/stand2
