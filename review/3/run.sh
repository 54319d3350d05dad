#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec target/review/trial cancel-after-unsure review/3
