"""The routing's part of a heartbeat: upstream loads and leaving marks."""

from __future__ import annotations

from lentilmount.routing.leaving import LeavingMark
from lentilmount.routing.loads import LoadReport
from lentilmount.routing.pools import Pools
from lentilmount.wire import peer_pb2


class Gossip:
    """Writes and reads the routing's part of a heartbeat."""

    def __init__(self, pools: Pools):
        self._pools = pools

    def write(
        self, message: peer_pb2.Heartbeat, zone: str, sent: set[LeavingMark]
    ) -> None:
        """Adds loads and new leaving marks to a heartbeat.

        Args:
          message: The heartbeat.
          zone: The peer's availability zone; '' before its first heartbeat.
          sent: The marks already sent on this stream; new ones are added.
        """
        for mark in self._pools.marks.list_marks():
            if mark not in sent:
                sent.add(mark)
                message.leaving.add(worker=mark.worker, boot=mark.boot)
        if not zone:
            return
        for report in self._pools.list_loads(zone):
            message.loads.add(
                source=report.source,
                service=report.service,
                counts=report.counts,
                age_millis=round(1000 * report.age_seconds),
            )

    def read(self, message: peer_pb2.Heartbeat) -> None:
        """Applies the loads and leaving marks of a received heartbeat."""
        for leaving in message.leaving:
            mark = LeavingMark(leaving.worker, leaving.boot)
            self._pools.mark_leaving(mark, message.sender.name)
        if message.loads:
            self._pools.update_peer_loads(
                LoadReport(
                    load.source,
                    load.service,
                    load.counts,
                    load.age_millis / 1000,
                )
                for load in message.loads
            )
