#!/bin/sh
# Builds the stand-ins of review 2 into target/review-2. The build command of deploy/system.toml comes first.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/stand2 ./review/_stand2
