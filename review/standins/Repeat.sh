#!/bin/bash
# Runs the script of a case once without and five times with the disruption. Prints the exit codes and the last lines of the records.
cd "$(dirname "$0")/.." || exit 2
TROUBLE=0 "./$1/run.sh"
echo "case $1 without the disruption: exit code $?"
for _ in 1 2 3 4 5; do
    "./$1/run.sh"
    echo "case $1: exit code $?"
    tail -n 4 "$1/record.txt"
done
