"""Lease and journal under kills, freezes, lost and late calls.

The oracle of the lease: at no time do two processes hold authority. The
oracle of orders: an endpoint that ignores fencing numbers receives an order
only while the journal names just that order as its open intent, and at most
once; one that checks them never takes a lower number after a higher one.
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
OBSERVE_FOR = 8.0


class HastyKeeper(leases.LeaseKeeper):
    """A careless part: takes over without waiting for the term."""

    def _is_free(self, now):
        return True


class LateKeeper(leases.LeaseKeeper):
    """A careless part: counts the term from the reply, not the request."""

    def _take_commit(self, event, now):
        result = super()._take_commit(event, now)
        if event.versions and self._valid_until > float('-inf'):
            self._valid_until = now + self._settings.term
        return result


class BlindJournal(orders.OrderJournal):
    """A careless part: writes over the open intent of another holder."""

    def _take_foreign(self, entry, authority):
        return self._write_wanted(entry, authority)


class EagerJournal(orders.OrderJournal):
    """A careless part: sends without asking again for the authority."""

    def _decide(self, entry, intent, now, authority):
        entry.decided = True
        entry.wanted = None
        return [orders.Send(intent.order, intent.fence)]


class UnfencedJournal(orders.OrderJournal):
    """A careless part: resolves an order it did not see carried out."""

    def _take_observation(self, event, now, authority):
        return self._resolve(event.target, 'abandoned')


class Endpoint:
    """An endpoint: what it received, and what is on the way to it."""

    def __init__(self, name, checks_fence):
        self.name = name
        self.checks_fence = checks_fence
        self.fence = 0
        self.received = []
        self.shown = ''

    def receive(self, order, fence):
        if self.checks_fence and fence < self.fence:
            return False
        assert fence >= self.fence or not self.checks_fence
        self.fence = max(self.fence, fence)
        if order.order_id != self.shown:
            self.received.append(order.order_id)
        self.shown = order.order_id
        return True


class Controller(simulation.Process):
    """A process with a lease keeper and a journal."""

    def __init__(self, machine, name):
        super().__init__(machine.world)
        self.machine = machine
        self.name = name
        self.keeper = machine.keeper_class(
            leases.LeaseSettings('s', name, TERM, MARGIN)
        )
        self.journal = machine.journal_class(
            orders.JournalSettings('s', name, OBSERVE_FOR)
        )

    def authority(self):
        return self.keeper.authority(self.world.now)

    def tick(self):
        now = self.world.now
        self.outbox.extend(self.keeper.step(events.Tick(), now))
        self.outbox.extend(
            self.journal.step(events.Tick(), now, self.authority())
        )

    def take(self, event):
        now = self.world.now
        return [
            *self.keeper_step(event, now),
            *self.journal.step(event, now, self.authority()),
        ]

    def keeper_step(self, event, now):
        if not belongs_to_lease(event, self.name):
            return []
        return self.keeper.step(event, now)

    def carry_out(self, action):
        match action:
            case orders.Send(order=order, fence=fence):
                self.machine.orders.append([self, order, fence])
            case orders.Observe(target=target):
                shown = self.machine.endpoints[target].shown
                self.inbox.append(orders.Observed(target, shown))
                self.drain_inbox()
            case orders.Replace(target=target):
                self.machine.replace(target, self)


def belongs_to_lease(event, name):
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
            return '@' in write_id
    return False


class OrderMachine(state_machines.WorldMachine):
    """Three controllers and two endpoints, one of which checks fences."""

    keeper_class = leases.LeaseKeeper
    journal_class = orders.OrderJournal

    def __init__(self):
        self.orders = []
        self.names = itertools.count(1)
        self.ids = itertools.count(1)
        self.endpoints = {
            'checks': Endpoint('checks', True),
            'ignores': Endpoint('ignores', False),
        }
        super().__init__()

    def start_process(self, at):
        return Controller(self, 'p%d.%d' % (at, next(self.names)))

    def check(self):
        holders = [
            process.name
            for process in self.processes
            if process.alive and process.authority() is not None
        ]
        assert len(holders) <= 1, holders

    def replace(self, target, process):
        old = self.endpoints[target]
        self.endpoints[target] = Endpoint(target, old.checks_fence)
        self.orders = [
            item for item in self.orders if item[1].target != target
        ]
        process.inbox.append(orders.Gone(target))
        process.drain_inbox()

    @stateful.initialize()
    def begin_with_holder(self):
        self.take_over(0, 0.6)

    @stateful.rule(
        number=state_machines.INDEX,
        seconds=state_machines.st.sampled_from([0.6, 1.3, 3.6]),
    )
    def take_over(self, number, seconds):
        """Run one process alone for a while, as if all others froze."""
        process = self.pick(number)
        process.frozen = False
        process.drain_inbox()
        for _ in range(3):
            process.tick()
            self.world.run_until_idle(process)
            self.check()
            self.world.now += seconds
        process.tick()
        self.world.run_until_idle(process)
        self.check()

    @stateful.rule(number=state_machines.INDEX, seconds=state_machines.SECONDS)
    def renew_slowly(self, number, seconds):
        """Let a renewal arrive at once, and its reply late."""
        process = self.pick(number)
        if process.frozen:
            return
        self.world.now += TERM / 3 + 0.1
        process.tick()
        self.world.send(process)
        mine = [
            item for item in self.world.in_flight if item.process is process
        ]
        for flight in mine:
            self.world.deliver_request(flight)
        for other in self.processes:
            if other is not process and not other.frozen:
                other.tick()
                self.world.run_until_idle(other)
        self.world.now += seconds
        for flight in mine:
            self.world.deliver_reply(flight)
        self.check()

    @stateful.rule(number=state_machines.INDEX)
    def order_well(self, number):
        """Let a holder's order to the endpoint without fences be sent."""
        del number
        for at, process in enumerate(self.processes):
            if process.authority() is not None and not process.frozen:
                self.propose(at, 'ignores')
                self.world.run_until_idle(process)
        self.check()

    @stateful.rule(
        number=state_machines.INDEX,
        name=state_machines.st.sampled_from(['checks', 'ignores']),
    )
    def propose(self, number, name):
        process = self.pick(number)
        if process.frozen or process.authority() is None:
            return
        checks = self.endpoints[name].checks_fence
        order = orders.Order(name, 'o%d' % next(self.ids), {}, checks)
        process.inbox.append(orders.Propose(order))
        process.drain_inbox()

    @stateful.rule(
        number=state_machines.INDEX, heard=state_machines.st.booleans()
    )
    def deliver_order(self, number, heard):
        if not self.orders:
            return
        at = number % len(self.orders)
        process, order, fence = self.orders.pop(at)
        endpoint = self.endpoints[order.target]
        if not endpoint.checks_fence:
            self.check_expected(endpoint, order)
        accepted = endpoint.receive(order, fence)
        if not process.alive:
            return
        event = orders.Unanswered(order.target, order.order_id)
        if heard:
            event = orders.Answered(order.target, order.order_id, accepted)
        process.inbox.append(event)
        process.drain_inbox()

    def check_expected(self, endpoint, order):
        row = self.world.table.read(orders.order_key('s', endpoint.name))
        assert row.version != rows.ABSENT, 'sent before it was written'
        intent = codec.decode_value(orders.Intent, row.value)
        assert intent.order.order_id == order.order_id, 'conflicting orders'
        assert intent.state == 'intended', 'order came after its end'
        assert order.order_id not in endpoint.received, 'received twice'


def make(keeper=leases.LeaseKeeper, journal=orders.OrderJournal):
    return type(
        'Machine',
        (OrderMachine,),
        {'keeper_class': keeper, 'journal_class': journal},
    )


def test_one_holder_and_no_conflicting_orders():
    state_machines.run(make())


@pytest.mark.parametrize(
    'keeper, journal',
    [
        (HastyKeeper, orders.OrderJournal),
        (LateKeeper, orders.OrderJournal),
        (leases.LeaseKeeper, BlindJournal),
        (leases.LeaseKeeper, UnfencedJournal),
    ],
)
def test_careless_parts_are_caught(keeper, journal):
    state_machines.expect_failure(make(keeper, journal))
