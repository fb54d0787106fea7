"""Guards against arrivals that count for the operator and not for this host."""

import pytest

from damaskridge.core.gateway.send_account import SendAccount, SendStep

READ, RUN = SendStep.READ, SendStep.RUN


def extra_arrivals(steps):
    """Count arrivals beyond the first as the operator does."""
    taken, counted = 0, 0
    for step, was_refused in steps:
        if step is READ and not was_refused:
            taken += 1
            counted += taken > 1
        else:
            counted += 1
    return max(0, counted - 1)


@pytest.mark.parametrize(
    "steps",
    [
        [(READ, False), (RUN, False)],
        [(READ, True), (RUN, False)],
        [(READ, True), (READ, False), (RUN, False)],
        [(READ, True), (READ, True), (RUN, False)],
        [(READ, False), (READ, False), (RUN, False)],
        [(READ, False), (RUN, True), (RUN, True), (RUN, False)],
        [(READ, False), (RUN, False), (READ, False), (RUN, False)],
        [(RUN, False), (READ, False), (RUN, False)],
        [(RUN, False), (READ, True), (READ, True), (RUN, False)],
    ],
)
def test_every_arrival_beyond_the_first_is_paid_before_it_is_sent(steps):
    account = SendAccount()
    for number, (step, was_refused) in enumerate(steps, start=1):
        for _ in range(account.unpaid_before(step)):
            account.pay()
        account.arrived(step, was_refused=was_refused)
        assert account.paid >= extra_arrivals(steps[:number])
    assert account.paid == extra_arrivals(steps)


def test_a_step_that_was_paid_and_not_sent_is_not_paid_again():
    account = SendAccount()
    account.arrived(RUN, was_refused=True)
    account.pay()
    assert account.unpaid_before(RUN) == 0
    account.arrived(RUN, was_refused=True)
    assert account.unpaid_before(RUN) == 1
