#!/bin/sh
# Builds the program that plays the scripts of the review, with its stand-ins.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/trial ./review/_trial
