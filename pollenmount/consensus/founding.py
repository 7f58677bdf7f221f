"""The proof that there is no group yet, without which none may be created.

A group is created with all first voters as its members, and commits nothing without a
majority of them. A first voter that has been up since the first start of the fleet, has
no data and knows of no group is a witness: it has taken part in none. Once the other
first voters are too few for a majority, no group can have committed anything.

Fewer witnesses prove less: one that was out of reach since the first start has not seen
the group of the others, which may have lost their disks since then. So a group is then
created only if no VM within reach knows of one for several rounds of questions.
"""

__all__ = ["NoGroupProof"]

FEW_WITNESSES_ROUNDS = 15


class NoGroupProof:
    """What one replica can say, and has found out, on whether there is a group.

    `me` is its VM's name and `voters` are the names of the first voters in its
    settings. `may_bootstrap` is whether it has been up since the first start of the
    fleet, and knows of no group. `knows_group` is set for good once it knows of one.
    """

    def __init__(self, me, voters, may_bootstrap):
        self.me = me
        self.voters = frozenset(voters)
        self.may_bootstrap = may_bootstrap
        self.knows_group = False
        self.rounds = 0

    def record_group(self):
        """Record that there is a group."""
        self.knows_group = True
        self.may_bootstrap = False

    def is_witness(self, voters):
        """Return whether this VM testifies that `voters` have created no group.

        It can't if its own first voters are others, or if it was none of them: it may
        then be without data although there is a group.
        """
        return (
            self.may_bootstrap and self.me in self.voters and self.voters == {*voters}
        )

    def record_round(self, witnesses):
        """Record the witnesses of a round; return whether there is no group.

        All first voters have answered in this round that they have no data.
        """
        if self.knows_group or not witnesses:
            self.rounds = 0
            return False
        self.rounds += 1
        others = len(self.voters) - len(witnesses)
        return 2 * others <= len(self.voters) or self.rounds >= FEW_WITNESSES_ROUNDS

    def restart(self):
        """Record that a first voter has data, or did not answer."""
        self.rounds = 0
