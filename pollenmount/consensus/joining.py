"""How a replica gets into its group: as one of the first voters, or by a join request.

Of the first voters, the one whose name sorts first bootstraps the group, once every
other has answered that it belongs to none, and it is proved that there is none
(`founding`). A replica with an empty disk thus never bootstraps a group a second time.
"""

from result import Ok

from pollenmount import task
from pollenmount.consensus.calls import Hello, HelloReply
from pollenmount.consensus.founding import NoGroupProof
from pollenmount.log import get_logger

__all__ = ["Joiner"]

HELLO_TIMEOUT_MS = 1000
BOOTSTRAP_INTERVAL_MS = 200
JOIN_INTERVAL_MS = 2000
LOG_EVERY_ROUNDS = 25

logger = get_logger("consensus")


class Joiner:
    """Announces this replica to the voters named in the settings.

    `voters` maps VM names to control addresses. `may_bootstrap` is whether this VM has
    been up since the fleet was first started. `interval_ms` is how often a replica that
    is no voter asks to join. `more_addresses` returns further nodes that may know the
    leader. `group_seen` returns whether this VM knows otherwise that there is a group.
    """

    def __init__(self, group, control, voters, may_bootstrap=True, **options):
        self.group = group
        self.control = control
        self.voters = dict(voters)
        self.proof = NoGroupProof(group.me.name, self.voters, may_bootstrap)
        self.interval_ms = options.get("interval_ms", JOIN_INTERVAL_MS)
        self.more_addresses = options.get("more_addresses", tuple)
        self.group_seen = options.get("group_seen", lambda: False)
        self.rounds = 0
        self.last_hellos = ()
        self.task = task.spawn(self.run)

    def run(self):
        """Announce this replica whenever it is no voter or has lost its leader."""
        while True:
            task.run_logged(self.run_round)
            is_bootstrapping = self.proof.is_witness(self.voters)
            task.sleep(BOOTSTRAP_INTERVAL_MS if is_bootstrapping else self.interval_ms)

    def run_round(self):
        """Announce this replica if that is needed now."""
        self.look_for_group(())
        if not self.is_voter():
            self.announce()

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
        further = self.announce_to_leader(replies, {*others.values(), me.address})
        self.look_for_group((*replies.values(), *further.values()))
        if me.name == min(self.voters) and self.group.state.is_uninitialized:
            self.bootstrap_group(others, replies)

    def look_for_group(self, replies):
        """Record whether this VM or one that replied knows of a group."""
        if (
            not self.group.state.is_uninitialized
            or self.group_seen()
            or any(shows_group(reply) for reply in replies)
        ):
            self.proof.record_group()

    def call_all(self, addresses):
        """Send a `Hello` to nodes concurrently; return the replies by name of node."""
        request = Hello(self.group.name, self.group.me, tuple(self.voters))
        calls = {
            name: task.spawn(self.control.call, address, request, HELLO_TIMEOUT_MS)
            for name, address in addresses.items()
        }
        replies = {name: call.wait() for name, call in calls.items()}
        return {n: r.ok_value for n, r in replies.items() if isinstance(r, Ok)}

    def announce_to_leader(self, replies, already_called):
        """Announce this replica to the leader; return the replies by address.

        If no reply names one, call the further nodes that may know it.
        """
        leaders = {reply.leader for reply in replies.values() if reply.leader}
        further = leaders or {*self.more_addresses()}
        self.log_hellos(sorted(replies), sorted(leaders))
        return self.call_all({address: address for address in further - already_called})

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
        """Bootstrap the group if every first voter is up, and there is no group."""
        uninitialized = {
            n: r.replica for n, r in replies.items() if r.replica and r.uninitialized
        }
        witnesses = {name for name, reply in replies.items() if reply.may_bootstrap}
        if self.proof.is_witness(self.voters):
            witnesses.add(self.group.me.name)
        if uninitialized.keys() == others.keys():
            if self.proof.record_round(witnesses):
                self.log_bootstrap(witnesses)
                self.group.bootstrap((self.group.me, *uninitialized.values()))
            return
        self.proof.restart()
        if not self.proof.knows_group:
            self.log_missing_voters(sorted(others.keys() - uninitialized.keys()))

    def log_bootstrap(self, witnesses):
        """Log that this replica creates the group, and which voters allow that."""
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
        self.look_for_group(())
        state = self.group.state
        leader = state.leader.address if state.leader else ""
        return HelloReply(
            self.group.me,
            state.is_uninitialized,
            leader,
            self.proof.is_witness(hello.voters),
            self.proof.knows_group,
        )

    def close(self):
        """Stop the task."""
        self.task.kill()


def shows_group(reply):
    """Return whether the reply to a `Hello` shows that there is a group."""
    is_member = reply.replica is not None and not reply.uninitialized
    return is_member or bool(reply.leader) or reply.knows_group
