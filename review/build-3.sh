#!/bin/bash
# Builds the stand-in that the scripts of the third review start. It needs no network.
set -e
cd "$(dirname "$0")/.."
go build -o out/stand3 ./review/stand3
