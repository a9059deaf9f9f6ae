"""Tests of the lease and the order journal.

Simulated controllers are killed and frozen, and their calls get lost or arrive
late. Checked after every step: at most one process holds the lease. An
endpoint that ignores fencing tokens receives an order at most once, and only
while the journal holds just that order as an unresolved intent. An endpoint
that checks fencing tokens never accepts a lower token after a higher one.
"""

import itertools

from hypothesis import stateful
import pytest
import simulation
import state_machines

from cairnloom.coordination import events
from cairnloom.coordination import leases
from cairnloom.coordination import orders
from cairnloom.coordination import rows
from cairnloom.protocol import codec

TERM = 3.0
MARGIN = 0.5
REPLACE_AFTER = 8.0


class EarlyTakeoverKeeper(leases.LeaseKeeper):
    """Faulty: takes the lease over without waiting for the end of its term."""

    def _is_free(self, now):
        return True


class ReplyTimeKeeper(leases.LeaseKeeper):
    """Faulty: counts the term from the reply instead of from the request."""

    def _handle_commit(self, event, now):
        result = super()._handle_commit(event, now)
        if event.versions and self._valid_until > float('-inf'):
            self._valid_until = now + self._settings.term
        return result


class OverwritingJournal(orders.OrderJournal):
    """Faulty: overwrites the unresolved intent of another holder."""

    def _handle_foreign_intent(self, entry, authority):
        return self._write_proposed(entry, authority)


class UncheckedJournal(orders.OrderJournal):
    """Faulty: sends without checking again that it still holds the lease."""

    def _send_or_abandon(self, entry, intent, now, authority):
        entry.send_decided = True
        entry.proposed_order = None
        return [orders.Send(intent.order, intent.fence)]


class AbandoningJournal(orders.OrderJournal):
    """Faulty: abandons an order although it may still be carried out."""

    def _handle_observation(self, event, now, authority):
        return self._write_final_state(event.target, 'abandoned')


class Endpoint:
    """A simulated endpoint and the orders that it received."""

    def __init__(self, name, checks_fence):
        self.name = name
        self.checks_fence = checks_fence
        self.highest_fence = 0
        self.received = []
        self.applied_order_id = ''

    def receive(self, order, fence):
        if self.checks_fence and fence < self.highest_fence:
            return False
        assert fence >= self.highest_fence or not self.checks_fence
        self.highest_fence = max(self.highest_fence, fence)
        if order.order_id != self.applied_order_id:
            self.received.append(order.order_id)
        self.applied_order_id = order.order_id
        return True


class Controller(simulation.Process):
    """A simulated process with a lease keeper and an order journal."""

    def __init__(self, machine, name):
        super().__init__(machine.simulation)
        self.machine = machine
        self.name = name
        self.keeper = machine.keeper_class(
            leases.LeaseSettings('s', name, TERM, MARGIN)
        )
        self.journal = machine.journal_class(
            orders.JournalSettings('s', name, REPLACE_AFTER)
        )

    def authority(self):
        return self.keeper.authority(self.simulation.now)

    def tick(self):
        now = self.simulation.now
        self.outbox.extend(self.keeper.step(events.Tick(), now))
        self.outbox.extend(
            self.journal.step(events.Tick(), now, self.authority())
        )

    def handle_event(self, event):
        now = self.simulation.now
        return [
            *self.step_keeper(event, now),
            *self.journal.step(event, now, self.authority()),
        ]

    def step_keeper(self, event, now):
        if not is_lease_event(event, self.name):
            return []
        return self.keeper.step(event, now)

    def carry_out(self, action):
        match action:
            case orders.Send(order=order, fence=fence):
                self.machine.orders_in_flight.append([self, order, fence])
            case orders.Observe(target=target):
                applied_order_id = self.machine.endpoints[
                    target
                ].applied_order_id
                self.inbox.append(orders.Observed(target, applied_order_id))
                self.drain_inbox()
            case orders.Replace(target=target):
                self.machine.replace(target, self)


def is_lease_event(event, name):
    match event:
        case events.ReadDone(row=row):
            return row.key.startswith('leases/')
        case events.ReadFailed(key=key):
            return key.startswith('leases/')
        case (
            events.CommitDone(write_id=write_id)
            | events.CommitConflict(write_id=write_id)
            | events.CommitUnknown(write_id=write_id)
        ):
            # Only the lease keeper's write ids contain an @.
            return '@' in write_id
    return False


class OrderMachine(state_machines.SimulationMachine):
    """Three controllers and two endpoints; one checks fencing tokens."""

    keeper_class = leases.LeaseKeeper
    journal_class = orders.OrderJournal

    def __init__(self):
        self.orders_in_flight = []
        self.name_numbers = itertools.count(1)
        self.order_numbers = itertools.count(1)
        self.endpoints = {
            'checks': Endpoint('checks', True),
            'ignores': Endpoint('ignores', False),
        }
        super().__init__()

    def start_process(self, index):
        return Controller(self, 'p%d.%d' % (index, next(self.name_numbers)))

    def assert_invariants(self):
        holders = [
            process.name
            for process in self.processes
            if process.alive and process.authority() is not None
        ]
        assert len(holders) <= 1, holders

    def replace(self, target, process):
        old_endpoint = self.endpoints[target]
        self.endpoints[target] = Endpoint(target, old_endpoint.checks_fence)
        self.orders_in_flight = [
            item for item in self.orders_in_flight if item[1].target != target
        ]
        process.inbox.append(orders.TargetGone(target))
        process.drain_inbox()

    @stateful.initialize()
    def start_with_holder(self):
        self.take_over(0, 0.6)

    @stateful.rule(
        number=state_machines.INDEX,
        seconds=state_machines.st.sampled_from([0.6, 1.3, 3.6]),
    )
    def take_over(self, number, seconds):
        """Run one process alone, as if all others were frozen.

        It ticks four times, at intervals of ``seconds``.
        """
        process = self.pick_process(number)
        process.frozen = False
        process.drain_inbox()
        for _ in range(3):
            process.tick()
            self.simulation.run_until_idle(process)
            self.assert_invariants()
            self.simulation.now += seconds
        process.tick()
        self.simulation.run_until_idle(process)
        self.assert_invariants()

    @stateful.rule(number=state_machines.INDEX, seconds=state_machines.SECONDS)
    def renew_with_late_reply(self, number, seconds):
        """Deliver a renewal immediately, but its reply late."""
        process = self.pick_process(number)
        if process.frozen:
            return
        self.simulation.now += TERM / 3 + 0.1
        process.tick()
        self.simulation.send(process)
        own_calls = [
            item
            for item in self.simulation.in_flight
            if item.process is process
        ]
        for call in own_calls:
            self.simulation.deliver_request(call)
        for other in self.processes:
            if other is not process and not other.frozen:
                other.tick()
                self.simulation.run_until_idle(other)
        self.simulation.now += seconds
        for call in own_calls:
            self.simulation.deliver_reply(call)
        self.assert_invariants()

    @stateful.rule(number=state_machines.INDEX)
    def order_undisturbed(self, number):
        """Let each lease holder send an order to the endpoint ``ignores``."""
        del number
        for index, process in enumerate(self.processes):
            if process.authority() is not None and not process.frozen:
                self.propose(index, 'ignores')
                self.simulation.run_until_idle(process)
        self.assert_invariants()

    @stateful.rule(
        number=state_machines.INDEX,
        name=state_machines.st.sampled_from(['checks', 'ignores']),
    )
    def propose(self, number, name):
        process = self.pick_process(number)
        if process.frozen or process.authority() is None:
            return
        checks_fences = self.endpoints[name].checks_fence
        order = orders.Order(
            name, 'o%d' % next(self.order_numbers), {}, checks_fences
        )
        process.inbox.append(orders.Propose(order))
        process.drain_inbox()

    @stateful.rule(
        number=state_machines.INDEX, answered=state_machines.st.booleans()
    )
    def deliver_order(self, number, answered):
        if not self.orders_in_flight:
            return
        index = number % len(self.orders_in_flight)
        process, order, fence = self.orders_in_flight.pop(index)
        endpoint = self.endpoints[order.target]
        if not endpoint.checks_fence:
            self.check_order_expected(endpoint, order)
        accepted = endpoint.receive(order, fence)
        if not process.alive:
            return
        event = orders.OrderOutcomeUnknown(order.target, order.order_id)
        if answered:
            event = orders.OrderAnswered(
                order.target, order.order_id, accepted
            )
        process.inbox.append(event)
        process.drain_inbox()

    def check_order_expected(self, endpoint, order):
        row = self.simulation.table.read(orders.order_key('s', endpoint.name))
        assert (
            row.version != rows.ABSENT
        ), 'order sent before its intent was written'
        intent = codec.decode_value(orders.Intent, row.value)
        assert (
            intent.order.order_id == order.order_id
        ), 'journal holds another order'
        assert intent.state == 'intended', 'resolved order was sent'
        assert order.order_id not in endpoint.received, 'order received twice'


def make_machine(
    keeper_class=leases.LeaseKeeper, journal_class=orders.OrderJournal
):
    return type(
        'Machine',
        (OrderMachine,),
        {'keeper_class': keeper_class, 'journal_class': journal_class},
    )


def test_single_holder_and_no_conflicting_orders():
    state_machines.run(make_machine())


@pytest.mark.parametrize(
    'keeper_class, journal_class',
    [
        (EarlyTakeoverKeeper, orders.OrderJournal),
        (ReplyTimeKeeper, orders.OrderJournal),
        (leases.LeaseKeeper, OverwritingJournal),
        (leases.LeaseKeeper, AbandoningJournal),
    ],
)
def test_faulty_parts_are_caught(keeper_class, journal_class):
    state_machines.expect_failure(make_machine(keeper_class, journal_class))
