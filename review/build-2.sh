#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the cases from 6 on; needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
shopt -s nullglob
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/standin-2/*.java review/{6,7,8,9,10}/*.java
