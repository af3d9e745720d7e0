#!/bin/sh
# Builds what the scripts of review/4 to review/8 start: all of it is Python and
# runs from the checkout with target/deps, so it is only checked that it can be
# imported.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1 exec python3 -c '
import review.common_2.gangs, review.common_2.site, lentilmount.control.lifecycle'
