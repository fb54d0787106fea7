"""No arrival that the operator counts may be missed by this host."""

import pytest

from damaskridge.core.gateway.send_account import SendAccount, SendStep

PREFILL, RUN = SendStep.PREFILL, SendStep.RUN


def extra_arrivals(steps):
    """Count the arrivals beyond the free ones as the operator does."""
    accepted, counted = 0, 0
    for step, was_refused in steps:
        if step is PREFILL and not was_refused:
            accepted += 1
            counted += accepted > 1
        else:
            counted += 1
    return max(0, counted - 1)


@pytest.mark.parametrize(
    "steps",
    [
        [(PREFILL, False), (RUN, False)],
        [(PREFILL, True), (RUN, False)],
        [(PREFILL, True), (PREFILL, False), (RUN, False)],
        [(PREFILL, True), (PREFILL, True), (RUN, False)],
        [(PREFILL, False), (PREFILL, False), (RUN, False)],
        [(PREFILL, False), (RUN, True), (RUN, True), (RUN, False)],
        [(PREFILL, False), (RUN, False), (PREFILL, False), (RUN, False)],
        [(RUN, False), (PREFILL, False), (RUN, False)],
        [(RUN, False), (PREFILL, True), (PREFILL, True), (RUN, False)],
    ],
)
def test_every_arrival_beyond_the_free_ones_is_paid_before_it_is_sent(steps):
    account = SendAccount()
    for number, (step, was_refused) in enumerate(steps, start=1):
        for _ in range(account.unpaid_before(step)):
            account.pay()
        account.record_arrival(step, was_refused=was_refused)
        assert account.paid >= extra_arrivals(steps[:number])
    assert account.paid == extra_arrivals(steps)


def test_payment_for_an_unsent_step_is_kept():
    account = SendAccount()
    account.record_arrival(RUN, was_refused=True)
    account.pay()
    assert account.unpaid_before(RUN) == 0
    account.record_arrival(RUN, was_refused=True)
    assert account.unpaid_before(RUN) == 1
