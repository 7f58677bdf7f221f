"""How a replica gets into its group: as one of the first voters, or by an offer.

The first voter by name starts the group, once every first voter has answered that it
knows of none, and one of them has been up since the fleet's first start. A replica on
an empty disk thus never starts a group a second time while another voter has its disk.
"""

from result import Ok

from pollenmount import task
from pollenmount.consensus.calls import Hello, HelloReply
from pollenmount.log import get_logger

__all__ = ["Joiner"]

HELLO_TIMEOUT_MS = 1000
BOOTSTRAP_INTERVAL_MS = 200
JOIN_INTERVAL_MS = 2000
LOG_EVERY_ROUNDS = 25

logger = get_logger("consensus")


class Joiner:
    """Tells the voters named in the settings that this replica is there.

    `voters` maps VM names to control addresses. `may_bootstrap` allows this replica to
    create the group. `interval_ms` is how often a replica that is no voter asks to
    join. `more_addresses` returns further nodes that may know the leader.
    """

    def __init__(self, group, control, voters, may_bootstrap=True, **options):
        self.group = group
        self.control = control
        self.voters = voters
        self.may_bootstrap = may_bootstrap
        self.interval_ms = options.get("interval_ms", JOIN_INTERVAL_MS)
        self.more_addresses = options.get("more_addresses", tuple)
        self.rounds = 0
        self.task = task.spawn(self.run)

    def run(self):
        """Say hello for as long as this replica is no voter."""
        while True:
            if not self.is_voter():
                self.announce()
            is_bootstrapping = (
                self.may_bootstrap
                and self.group.state.is_uninitialized
                and self.group.me.name in self.voters
            )
            task.sleep(BOOTSTRAP_INTERVAL_MS if is_bootstrapping else self.interval_ms)

    def is_voter(self):
        """Return whether this replica votes and has a leader."""
        state = self.group.state
        is_silent = state.leader is None and self.group.clock.now() > (
            state.heard_at + JOIN_INTERVAL_MS
        )
        return self.group.me in state.configuration.voters and not is_silent

    def announce(self):
        """Ask every voter's VM; start the group if all know of none."""
        me = self.group.me
        others = {n: a for n, a in self.voters.items() if n != me.name}
        replies = self.call_all(others)
        if me.name == min(self.voters) and self.may_bootstrap_with(replies):
            self.bootstrap_group(others, replies)
        else:
            self.announce_to_leader(replies, {*others.values(), me.address})

    def may_bootstrap_with(self, replies):
        """Return whether the group may be a new one.

        One voter up since the first start is enough: others may have restarted since,
        and are told that the fleet has been there before.
        """
        voter_may_bootstrap = any(reply.may_bootstrap for reply in replies.values())
        return self.group.state.is_uninitialized and (
            self.may_bootstrap or voter_may_bootstrap
        )

    def call_all(self, addresses):
        """Say hello to nodes by name, all at a time; return the replies that came."""
        request = Hello(self.group.name, self.group.me)
        calls = {
            name: task.spawn(self.control.call, address, request, HELLO_TIMEOUT_MS)
            for name, address in addresses.items()
        }
        replies = {name: call.wait() for name, call in calls.items()}
        return {n: r.ok_value for n, r in replies.items() if isinstance(r, Ok)}

    def announce_to_leader(self, replies, already_called):
        """Say hello to the leader, whom only others than those called may know."""
        leaders = {reply.leader for reply in replies.values() if reply.leader}
        if not leaders:
            leaders = {*self.more_addresses()}
        self.call_all({address: address for address in leaders - already_called})

    def bootstrap_group(self, others, replies):
        """Start the group if every first voter is there and blank."""
        uninitialized = {
            n: r.replica for n, r in replies.items() if r.replica and r.uninitialized
        }
        initialized = [
            n for n, r in replies.items() if r.replica and not r.uninitialized
        ]
        if uninitialized.keys() == others.keys():
            self.group.bootstrap((self.group.me, *uninitialized.values()))
        elif not initialized:
            self.log_missing_voters(sorted(others.keys() - uninitialized.keys()))

    def log_missing_voters(self, missing):
        """Log now and then which first voters the group waits for."""
        self.rounds += 1
        if self.rounds % LOG_EVERY_ROUNDS == 0:
            logger.warning(
                "waiting for first voters; start them with a data_folder, or take them "
                "out of 'groups' on all VMs",
                extra={"group": self.group.name, "missing": missing},
            )

    def answer_hello(self, hello):
        """Take in another replica's hello."""
        self.group.request_join(hello.replica)
        state = self.group.state
        leader = state.leader.address if state.leader else ""
        return HelloReply(
            self.group.me, state.is_uninitialized, leader, self.may_bootstrap
        )

    def close(self):
        """Stop."""
        self.task.kill()
