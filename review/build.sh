#!/bin/sh
# The stand-ins are Python: this checks that each one can be imported with
# what the build of the deploy file has installed.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="target/deps:." exec python3 -B -c '
import importlib
for name in ("stand_ins.rowstore", "stand_ins.model_worker",
             "stand_ins.entry_hosts", "review.common.site",
             "review.1.play", "review.2.play", "review.3.play"):
    importlib.import_module(name)
'
