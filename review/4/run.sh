#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec target/review/trial fractional-bound review/4
