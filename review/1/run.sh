#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec target/review/trial restart-in-outage review/1
