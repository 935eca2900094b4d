#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start besides the gateway: one program, which is
# driver, store, clients and replicas.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-rig ./review/_rig
