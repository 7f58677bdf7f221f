"""Requests of this node that wait for the log: proposals by index, reads by id."""

from pollenmount.consensus.calls import ProposalOutcome

__all__ = ["PendingRequests"]


class PendingRequests:
    """The events to which the outcomes of proposals and reads are sent."""

    def __init__(self):
        self.proposals = {}
        self.reads = {}
        self.last_read_id = 0

    def add_proposals(self, appended, proposals):
        """Add proposals that were appended to the log."""
        for index, proposal in enumerate(proposals, start=appended.first_index):
            self.proposals[index] = (appended.term, proposal.done)

    def complete_proposal(self, index, term, answer, reply):
        """Answer the proposal at an index that was committed.

        An entry of another term there proves that the proposal was overwritten. Without
        an answer, the entry was passed over.
        """
        if index not in self.proposals:
            return
        proposed_term, done = self.proposals.pop(index)
        if proposed_term != term:
            done.send(reply(ProposalOutcome.NOT_APPENDED, b""))
        elif answer is None:
            done.send(reply(ProposalOutcome.UNKNOWN, b""))
        else:
            done.send(reply(ProposalOutcome.APPLIED, answer))

    def complete_up_to(self, index, unknown_reply):
        """Answer the proposals up to `index`, which a snapshot covers."""
        for covered in [i for i in self.proposals if i <= index]:
            self.proposals.pop(covered)[1].send(unknown_reply)

    def add_read(self, done):
        """Add a read; return its id."""
        self.last_read_id += 1
        self.reads[self.last_read_id] = done
        return self.last_read_id

    def complete_read(self, id_, is_confirmed):
        """Answer a read."""
        if id_ in self.reads:
            self.reads.pop(id_).send(is_confirmed)

    def fail_read(self, done):
        """Answer a read that was never started."""
        for id_ in [i for i, event in self.reads.items() if event is done]:
            self.complete_read(id_, False)

    def fail_all(self, unknown_reply):
        """Answer all requests, as the replica has failed."""
        for _, done in self.proposals.values():
            done.send(unknown_reply)
        for done in self.reads.values():
            done.send(False)
        self.proposals.clear()
        self.reads.clear()
