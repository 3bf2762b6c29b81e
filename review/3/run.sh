#!/usr/bin/env bash
exec bash "$(dirname "$0")/../run-case.sh" gone "$(dirname "$0")"
