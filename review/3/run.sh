#!/usr/bin/env bash
. "$(dirname "$0")/../standins/run-case.sh"
