#!/bin/sh
# Builds the stand-ins of the third review's scripts, which include the project's own package platformtest.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/_stand3
mv target/review-3/_stand3 target/review-3/stand
