#!/bin/sh
# Builds the stand-ins of the cases 4 to 6. The program itself is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2 ./review/standin2
