#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. It needs the JDK only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/standin/*.java
