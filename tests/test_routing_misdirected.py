"""Tests of upstreams whose task ended while the directory still lists them."""

from lentilmount.clock import ManualClock
from lentilmount.resources import ConfigurationSpec
from lentilmount.routing.forward import Call, Reply, Result
from tests.helpers import run
from tests.routing_fixtures import (
    ScriptedForwarder,
    make_call,
    make_configuration,
    make_router,
)

DONE = Reply(Result.ANSWERED, 200)
MISDIRECTED = Reply(Result.NOT_RUN, error='not here', is_misdirected=True)
ADDRESSES = [f'a{number}' for number in range(8)]
ENDED_ADDRESSES = frozenset(ADDRESSES[:5])


def test_callers_are_not_routed_to_ended_tasks() -> None:
    """Callers were routed repeatedly to ended tasks, which refused at once."""

    async def check() -> None:
        def answer(address: str, _: Call) -> Reply:
            return MISDIRECTED if address in ENDED_ADDRESSES else DONE

        forwarder = ScriptedForwarder(answer)
        clock = ManualClock()
        router, _ = make_router(
            ADDRESSES,
            forwarder,
            make_configuration(weights=ConfigurationSpec(retry_share=0.0)),
            monotonic=clock.monotonic,
        )
        for number in range(100):
            reply = await router.route(make_call(number, False), None)
            assert reply is DONE
        reached = [a for a, _ in forwarder.sent if a in ENDED_ADDRESSES]
        assert sorted(reached) == sorted(ENDED_ADDRESSES)

    run(check())
