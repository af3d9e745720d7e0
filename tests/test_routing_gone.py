"""Upstreams whose task ended while nobody could tell."""

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
GONE = Reply(Result.NOT_RUN, error='not here', is_misdirected=True)
ADDRESSES = [f'a{number}' for number in range(8)]
ENDED = frozenset(ADDRESSES[:5])


def test_callers_do_not_meet_upstreams_that_are_gone() -> None:
    """Callers were sent to tasks that had lapsed and refused them at once."""

    async def play() -> None:
        def answer(address: str, _: Call) -> Reply:
            return GONE if address in ENDED else DONE

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
        met = [a for a, _ in forwarder.sent if a in ENDED]
        assert sorted(met) == sorted(ENDED)

    run(play())
