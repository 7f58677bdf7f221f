"""How a replica gets into its group: as one of the first voters, or by a join request.

Of the first voters, the one whose name sorts first bootstraps the group, once every
other has answered that it belongs to none, and at least one of them, itself included,
has been up since the fleet was first started. A replica with an empty disk thus never
bootstraps a group a second time while another voter still has its disk.
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
    """Announces this replica to the voters named in the settings.

    `voters` maps VM names to control addresses. `may_bootstrap` allows this replica to
    create the group. `interval_ms` is how often a replica that is no voter asks to
    join. `more_addresses` returns further nodes that may know the leader.
    """

    def __init__(self, group, control, voters, may_bootstrap=True, **options):
        self.group = group
        self.control = control
        self.voters = dict(voters)
        self.may_bootstrap = may_bootstrap
        self.interval_ms = options.get("interval_ms", JOIN_INTERVAL_MS)
        self.more_addresses = options.get("more_addresses", tuple)
        self.rounds = 0
        self.last_hellos = ()
        self.task = task.spawn(self.run)

    def run(self):
        """Announce this replica whenever it is no voter or has lost its leader."""
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
        """Return whether this replica is a voter that has, or lately had, a leader."""
        state = self.group.state
        is_silent = state.leader is None and self.group.clock.now() > (
            state.heard_at + JOIN_INTERVAL_MS
        )
        return self.group.me in state.configuration.voters and not is_silent

    def announce(self):
        """Call all other voters and the leader, or create the group if there is none.

        A replica that may create the group asks to join one as well: some voters may
        know of a group although others don't.
        """
        me = self.group.me
        others = {n: a for n, a in self.voters.items() if n != me.name}
        replies = self.call_all(others)
        self.announce_to_leader(replies, {*others.values(), me.address})
        if me.name == min(self.voters) and self.may_bootstrap_with(replies):
            self.bootstrap_group(others, replies)

    def may_bootstrap_with(self, replies):
        """Return whether the group may be created now.

        One voter that has been up since the first start is enough: others may have
        restarted since then, and were told that the fleet had been started before.
        """
        voter_may_bootstrap = any(reply.may_bootstrap for reply in replies.values())
        return self.group.state.is_uninitialized and (
            self.may_bootstrap or voter_may_bootstrap
        )

    def call_all(self, addresses):
        """Send a `Hello` to nodes concurrently; return the replies by name of node."""
        request = Hello(self.group.name, self.group.me)
        calls = {
            name: task.spawn(self.control.call, address, request, HELLO_TIMEOUT_MS)
            for name, address in addresses.items()
        }
        replies = {name: call.wait() for name, call in calls.items()}
        return {n: r.ok_value for n, r in replies.items() if isinstance(r, Ok)}

    def announce_to_leader(self, replies, already_called):
        """Announce this replica to the leader.

        If no reply names one, call the further nodes that may know it.
        """
        leaders = {reply.leader for reply in replies.values() if reply.leader}
        further = leaders or {*self.more_addresses()}
        self.call_all({address: address for address in further - already_called})
        self.log_hellos(sorted(replies), sorted(leaders))

    def log_hellos(self, answered, leaders):
        """Log which nodes answered and the leaders they named, if that has changed."""
        hellos = (answered, leaders)
        if hellos != self.last_hellos:
            logger.info(
                "asked to join",
                extra={
                    "group": self.group.name,
                    "asked": sorted(self.voters.keys() - {self.group.me.name}),
                    "answered": answered,
                    "leaders": leaders,
                },
            )
        self.last_hellos = hellos

    def bootstrap_group(self, others, replies):
        """Bootstrap the group if every first voter is up and belongs to no group."""
        uninitialized = {
            n: r.replica for n, r in replies.items() if r.replica and r.uninitialized
        }
        initialized = [
            n for n, r in replies.items() if r.replica and not r.uninitialized
        ]
        if uninitialized.keys() == others.keys():
            self.log_bootstrap(replies)
            self.group.bootstrap((self.group.me, *uninitialized.values()))
        elif not initialized:
            self.log_missing_voters(sorted(others.keys() - uninitialized.keys()))

    def log_bootstrap(self, replies):
        """Log that this replica creates the group, and which voters allow that."""
        witnesses = [name for name, reply in replies.items() if reply.may_bootstrap]
        if self.may_bootstrap:
            witnesses.append(self.group.me.name)
        logger.info(
            "log created",
            extra={
                "group": self.group.name,
                "voters": sorted(self.voters),
                "witnesses": sorted(witnesses),
            },
        )

    def log_missing_voters(self, missing):
        """Log which first voters are missing, once in `LOG_EVERY_ROUNDS` rounds."""
        self.rounds += 1
        if self.rounds % LOG_EVERY_ROUNDS == 0:
            logger.warning(
                "waiting for first voters; start them with a data_folder, or remove "
                "them from 'groups' on all VMs",
                extra={"group": self.group.name, "missing": missing},
            )

    def answer_hello(self, hello):
        """Answer the `Hello` of another replica, and queue its request to join."""
        self.group.request_join(hello.replica)
        state = self.group.state
        leader = state.leader.address if state.leader else ""
        return HelloReply(
            self.group.me, state.is_uninitialized, leader, self.may_bootstrap
        )

    def close(self):
        """Stop the task."""
        self.task.kill()
