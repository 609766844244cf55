#!/usr/bin/env bash
# Plays this case once; see claim.txt. TROUBLE=0 plays it without the disruption.
here=$(dirname "${BASH_SOURCE[0]}")
exec "$here/../case.sh" "$here" LeavingWorker
