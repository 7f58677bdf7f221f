"""The runtime of one replica: a task that owns its state, journal and state machine.

All queued requests are processed in one batch: the step function is run over them, what
it asks for is saved with one sync, and only then are messages and answers sent.
"""

import contextlib
import queue

import msgspec

from pollenmount import task
from pollenmount.consensus import messages as m
from pollenmount.consensus import state as s
from pollenmount.consensus.batch import Incoming, Proposal, ReadBarrier, Transition
from pollenmount.consensus.calls import (
    Exchange,
    ProposalOutcome,
    ProposeReply,
    decode_message,
    encode_message,
)
from pollenmount.consensus.changes import log_changes
from pollenmount.consensus.client import no_quorum_refusal
from pollenmount.consensus.journal import JournalFailedError, JournalFullError
from pollenmount.consensus.link import ReplicaLink
from pollenmount.consensus.pending import PendingRequests
from pollenmount.documents import UnreadableDocumentError
from pollenmount.log import get_logger

__all__ = ["Group", "no_quorum_refusal"]

PROPOSE_WAIT_MS = 900
EXCHANGE_WAIT_MS = 900
COMPACT_ENTRIES = 1024
COMPACT_BYTES = 4 << 20
COMMIT_SAVE_DELAY_MS = 1000

logger = get_logger("consensus")


class Group:
    """One replica of the group `name`.

    `machine` is the state machine that commands are applied to. `journal` is the
    durable state, written on the thread of `worker`. `control` calls other nodes.
    `on_apply` is called with the machine after it changed, and again after an exception
    in it (`has_news`). `stopping` returns whether the node is shutting down.
    """

    def __init__(self, name, me, machine, journal, worker, control, clock, **options):
        self.name = name
        self.me = me
        self.machine = machine
        self.journal = journal
        self.worker = worker
        self.control = control
        self.clock = clock
        self.on_apply = options.get("on_apply", lambda machine: None)
        self.stopping = options.get("stopping", lambda: False)
        self.timing = options.get("timing", s.Timing())
        self.types = {command.__name__: command for command in machine.commands}
        self.inbox = task.Mailbox()
        self.links = {}
        self.pending = PendingRequests()
        self.failure = ""
        self.transfer_started = False
        self.applied = 0
        self.has_news = False
        self.size_at_compaction = journal.size
        saved = journal.saved
        self.state = s.restore(
            me,
            self.timing,
            clock.now(),
            saved.term,
            saved.voted_for,
            saved.snapshot,
            saved.log,
            saved.commit,
        )
        self.commit_save_at = 0
        self.processed_at = clock.now()
        self.dropped_at = None
        self.handed_over_at = None
        self.apply()
        self.loop = task.spawn(self.run)

    def propose(self, request, timeout_ms=PROPOSE_WAIT_MS):
        """Return the `ProposeReply` to a `Propose`.

        The outcome is unknown after `timeout_ms`, and after `PROPOSE_WAIT_MS` already
        if this replica does not lead: another one may answer sooner then.
        """
        # A body that can't be decoded must not be appended: no replica could apply it.
        msgspec.msgpack.decode(request.body, type=self.types[request.command])
        if self.failure:
            return self.reply(ProposalOutcome.NOT_APPENDED)
        deadline = self.clock.now() + timeout_ms
        proposal = Proposal(request.command, request.body, task.Event())
        reply = self.submit(proposal, min(timeout_ms, PROPOSE_WAIT_MS))
        # A slow disk takes longer. Proposing again would put more on it, and never
        # get an answer if each sync takes that long.
        while reply is None and self.leads() and self.clock.now() < deadline:
            remaining_ms = deadline - self.clock.now()
            wait_ms = max(1, min(remaining_ms, PROPOSE_WAIT_MS))
            reply = proposal.done.wait(wait_ms / task.MS_PER_S)
        return reply or self.reply(ProposalOutcome.UNKNOWN)

    def leads(self):
        """Return whether this replica leads and has not failed."""
        return self.state.role is s.Role.LEADER and not self.failure

    def read_barrier(self):
        """Return whether this replica leads and has applied all committed entries.

        If so, a read of its state machine is linearizable.
        """
        return bool(self.submit(ReadBarrier(task.Event()), PROPOSE_WAIT_MS))

    def exchange(self, exchange):
        """Process messages of another replica; return the messages for it."""
        reply = task.Event()
        self.inbox.put(Incoming(exchange, reply))
        messages = reply.wait(EXCHANGE_WAIT_MS / task.MS_PER_S) or ()
        return Exchange(self.name, self.me, exchange.sender, tuple(messages))

    def deliver(self, exchange):
        """Queue messages that another replica returned from a call."""
        self.inbox.put(Incoming(exchange, None))

    def request_join(self, replica):
        """Queue the request of a replica outside the group to join it."""
        self.inbox.put(m.JoinRequest(replica))

    def bootstrap(self, replicas):
        """Create the group with its first voters."""
        self.inbox.put(m.Bootstrap(m.Configuration(tuple(replicas))))

    def is_in_touch(self):
        """Return whether this replica leads, or follows the leader and keeps up.

        A leader that stood still must have heard a quorum since. A replica that has
        failed, waits for its disk or has no vote keeps the leader that it had. A voter
        gives up a silent leader after twice the election timeout at most. Without a
        vote, or room on the disk, one may be behind the leader that it hears.
        """
        state, now = self.state, self.clock.now()
        timeout_ms = 2 * self.timing.election_timeout_ms
        if self.failure or state.leader is None:
            return False
        if now - self.processed_at >= timeout_ms:
            return False
        if state.role is s.Role.LEADER:
            return state.has_heard_quorum_since(state.resumed_at)
        can_vote = state.configuration.can_vote(self.me)
        is_behind = self.is_disk_full() or now - state.heard_at >= timeout_ms
        return can_vote and not is_behind

    def submit(self, request, timeout_ms):
        """Queue a request; return what its `done` receives, or None on a timeout."""
        if self.failure:
            return None
        self.inbox.put(request)
        return request.done.wait(timeout_ms / task.MS_PER_S)

    def reply(self, outcome, answer=b""):
        """Return the `ProposeReply` for an outcome."""
        leader = self.state.leader
        address = leader.address if leader else ""
        return ProposeReply(
            outcome is ProposalOutcome.APPLIED, answer, address, outcome
        )

    def run(self):
        """Process batches until the replica fails."""
        while not self.failure:
            try:
                self.process_batch(self.collect_batch())
            except JournalFailedError as error:
                self.fail(str(error))
            except Exception:
                self.fail("internal error; report it, then restart the node")
                raise

    def fail(self, problem):
        """Stop processing; pending requests are answered as unknown or failed."""
        self.failure = problem
        self.pending.fail_all(self.reply(ProposalOutcome.UNKNOWN))
        logger.error("replica failed", extra={"group": self.name, "problem": problem})

    def collect_batch(self):
        """Wait for a request or the next timer; return all queued requests."""
        batch = []
        try:
            batch.append(self.inbox.get(timeout=self.sleep_ms() / task.MS_PER_S))
            while True:
                batch.append(self.inbox.get_nowait())
        except queue.Empty:
            return batch

    def sleep_ms(self):
        """Return the time until the next timer, at most one heartbeat interval."""
        state = self.state
        is_leader = state.role is s.Role.LEADER
        next_at = state.heartbeat_at if is_leader else state.election_at
        return min(max(1, next_at - self.clock.now()), self.timing.heartbeat_ms)

    def process_batch(self, batch):
        """Run one batch through the step function, save, then release the effects."""
        transition = Transition(self.state, self.clock.now())
        for item in batch:
            self.step_item(transition, item)
        proposals = [item for item in batch if isinstance(item, Proposal)]
        if proposals:
            commands = tuple((item.kind, item.body) for item in proposals)
            transition.step(m.ProposeEntries(0, commands))
        if self.stopping() and not self.transfer_started:
            self.transfer_started = True
            transition.step(m.Transfer())
        transition.step(m.Tick())
        if self.may_hand_over():
            self.handed_over_at = self.clock.now()
            transition.step(m.Transfer())
        try:
            self.save(transition)
        except JournalFullError as error:
            self.drop_batch(batch, proposals, transition, error)
            return
        self.release_effects(transition, batch, proposals)
        self.compact()
        self.save_commit()
        self.processed_at = self.clock.now()

    def step_item(self, transition, item):
        """Step through one item of the inbox; proposals are appended together later."""
        if isinstance(item, Incoming):
            if item.exchange.to == self.me:
                for message in read_messages(item.exchange):
                    step_message(self, transition, item.exchange, message)
        elif isinstance(item, ReadBarrier):
            transition.step(m.Read(self.pending.add_read(item.done)))
        elif not isinstance(item, Proposal):
            transition.step(item)

    def save(self, transition):
        """Save what the effects ask for, with one sync."""
        state = transition.state
        if any(isinstance(effect, s.SaveSnapshot) for effect in transition.effects):
            snapshot = state.snapshot
            vote = (state.term, state.voted_for)
            log = state.log
            self.worker.run(
                self.journal.save_snapshot, snapshot, *vote, log, state.commit
            )
            self.size_at_compaction = self.journal.size
            return
        saves = [e for e in transition.effects if isinstance(e, s.SaveEntries)]
        if saves or any(
            isinstance(effect, s.SaveVote) for effect in transition.effects
        ):
            self.save_record(state, saves)

    def save_record(self, state, saves):
        """Append one record to the journal, on the thread of the worker."""
        vote = (state.term, state.voted_for)
        self.worker.run(self.journal.save, *vote, saves, state.commit)
        self.handed_over_at = None
        self.commit_save_at = self.clock.now() + COMMIT_SAVE_DELAY_MS

    def save_commit(self):
        """Save the commit index, `COMMIT_SAVE_DELAY_MS` after the last save.

        A node that restarts alone, without a quorum, can then put its newest plan in
        force at once.
        """
        if (
            self.journal.commit < self.state.commit
            and self.clock.now() > self.commit_save_at
        ):
            with contextlib.suppress(JournalFullError):
                self.save_record(self.state, ())

    def may_hand_over(self):
        """Return whether another replica should lead, as this one's disk is full."""
        return (
            self.state.role is s.Role.LEADER
            and self.is_disk_full()
            and not self.is_handing_over()
        )

    def is_disk_full(self):
        """Return whether the last batch that had to be saved, lately, was dropped."""
        dropped_at, timeout_ms = self.dropped_at, 2 * self.timing.election_timeout_ms
        return dropped_at is not None and self.clock.now() - dropped_at < timeout_ms

    def is_handing_over(self):
        """Return whether another replica may be about to lead in place of this one."""
        handed_at, timeout_ms = self.handed_over_at, 2 * self.timing.election_timeout_ms
        return handed_at is not None and self.clock.now() - handed_at < timeout_ms

    def outcome_of_drop(self):
        """Return the outcome of a proposal that was dropped: full, or ask another."""
        has_others = self.state.configuration.voters != (self.me,)
        may_change = self.handed_over_at is None or self.is_handing_over()
        if has_others and may_change:
            return ProposalOutcome.NOT_APPENDED
        return ProposalOutcome.DISK_FULL

    def drop_batch(self, batch, proposals, transition, error):
        """Drop a batch that doesn't fit on the disk, as if its messages had been lost.

        Its proposals and reads are refused. If it had proposals, the messages in it are
        processed once more without them. If it came to a newer term, this replica leads
        no longer, and the leader that it followed does not either.
        """
        logger.error("disk full", extra={"group": self.name, "problem": str(error)})
        self.dropped_at = self.clock.now()
        for proposal in proposals:
            proposal.done.send(self.reply(self.outcome_of_drop()))
        self.transfer_started = False
        for item in batch:
            if isinstance(item, ReadBarrier):
                self.pending.fail_read(item.done)
        rest = [item for item in batch if item not in proposals]
        if proposals:
            self.process_batch(
                [item for item in rest if not isinstance(item, ReadBarrier)]
            )
            return
        for item in rest:
            if isinstance(item, Incoming) and item.reply:
                item.reply.send(())
        if transition.state.term > self.state.term and self.state.leader is not None:
            self.step_down()

    def step_down(self):
        """Follow no leader, and be none; that needs no room on the disk."""
        transition = Transition(self.state, self.clock.now())
        transition.step(m.StepDown())
        self.release_effects(transition, (), ())

    def release_effects(self, transition, batch, proposals):
        """Adopt a saved transition: send messages, apply entries, answer requests."""
        log_changes(self.name, self.state, transition.state)
        self.state = transition.state
        for effect in transition.effects:
            if isinstance(effect, s.Appended):
                self.pending.add_proposals(effect, proposals)
            elif isinstance(effect, s.Rejected):
                for proposal in proposals:
                    proposal.done.send(self.reply(ProposalOutcome.NOT_APPENDED))
        self.send(transition.effects, batch)
        self.apply()
        for effect in transition.effects:
            if isinstance(effect, s.ReadReady | s.ReadFailed):
                self.pending.complete_read(effect.id, isinstance(effect, s.ReadReady))

    def send(self, effects, batch):
        """Send messages, in the reply to a waiting call or over a link."""
        outgoing = {}
        for effect in effects:
            if isinstance(effect, s.Send):
                outgoing.setdefault(effect.to, []).append(effect.message)
        for item in batch:
            if isinstance(item, Incoming) and item.reply:
                item.reply.send(encode_messages(outgoing.pop(item.exchange.sender, ())))
        for to, messages in outgoing.items():
            self.link(to).push(messages)

    def link(self, to):
        """Return the link to a replica; a new one drops the links to former members."""
        if to not in self.links:
            members = self.state.configuration.members
            self.links = {k: v for k, v in self.links.items() if k in members}
            self.links[to] = ReplicaLink(
                self.control, self.name, self.me, to, self.deliver
            )
        return self.links[to]

    def apply(self):
        """Apply committed entries, then call `on_apply` once if there were any."""
        state = self.state
        before = self.applied
        if state.snapshot.index > self.applied:
            self.machine.restore(state.snapshot.data)
            self.applied = state.snapshot.index
            self.pending.complete_up_to(
                self.applied, self.reply(ProposalOutcome.UNKNOWN)
            )
        for entry in state.log.after(self.applied)[: state.commit - self.applied]:
            self.applied += 1
            answer = self.apply_entry(entry)
            self.pending.complete_proposal(self.applied, entry.term, answer, self.reply)
        self.has_news = self.has_news or self.applied > before
        if self.has_news:
            self.publish()

    def publish(self):
        """Call `on_apply`, which other parts of the node may fail; then again later."""
        try:
            self.on_apply(self.machine)
            self.has_news = False
        except Exception:
            logger.exception("change not published", extra={"group": self.name})

    def apply_entry(self, entry):
        """Apply one entry; return the encoded answer, or None if it can't be applied.

        The machine is deterministic, so that all replicas pass over the same entries.
        One that ended them would end them all, and again after each restart.
        """
        if entry.kind not in self.types:
            return b""
        try:
            command = decode_command(entry, self.types)
            answer = self.machine.apply(command)
            return msgspec.msgpack.encode(answer)
        except MemoryError:
            raise
        except Exception:
            fields = {"group": self.name, "index": self.applied, "kind": entry.kind}
            logger.exception("entry passed over", extra=fields)
            return None

    def compact(self):
        """Take a snapshot once the log or the journal has grown enough."""
        state = self.state
        growth_bytes = self.journal.size - self.size_at_compaction
        growth_limit_bytes = max(
            COMPACT_BYTES, self.size_at_compaction + len(state.snapshot.data)
        )
        exceeds_entries = self.applied - state.snapshot.index >= COMPACT_ENTRIES
        if not exceeds_entries and growth_bytes < growth_limit_bytes:
            return
        transition = Transition(state, self.clock.now())
        transition.step(m.Compact(self.applied, self.machine.snapshot()))
        try:
            self.save(transition)
        except JournalFullError as error:
            logger.error(
                "snapshot not saved", extra={"group": self.name, "problem": str(error)}
            )
            return
        self.release_effects(transition, (), ())

    def close(self):
        """Stop the task and close the files."""
        self.loop.kill()
        self.journal.close()


def read_messages(exchange):
    """Yield the messages of another replica, without those that can't be read."""
    for encoded in exchange.messages:
        try:
            yield decode_message(encoded)
        except UnreadableDocumentError as error:
            extra = {"group": exchange.group, "replica": exchange.sender.name}
            logger.warning(
                "message of a replica left out", extra={**extra, "problem": str(error)}
            )


def step_message(group, transition, exchange, message):
    """Step through a message of another replica, or leave it out as if lost."""
    try:
        check_contents(group, message)
        transition.step(m.Receive(exchange.sender, message))
    except MemoryError:
        raise
    except Exception as error:
        fields = {"group": group.name, "replica": exchange.sender.name}
        fields |= {"kind": type(message).__name__, "error": type(error).__name__}
        logger.error("message of a replica failed", extra=fields)


def check_contents(group, message):
    """Raise an error if entries or a snapshot in a message can't be decoded.

    They are applied after they have been saved, when they can't be left out any more.
    """
    if isinstance(message, m.InstallSnapshot):
        type(group.machine)().restore(message.snapshot.data)
    for entry in message.entries if isinstance(message, m.Append) else ():
        if entry.kind == m.CONFIGURATION:
            m.decode_configuration(entry)
        elif entry.kind in group.types:
            decode_command(entry, group.types)


def decode_command(entry, types):
    """Return the command that an entry holds, by the names of the types."""
    return msgspec.msgpack.decode(entry.body, type=types[entry.kind])


def encode_messages(messages):
    """Return messages encoded for the wire."""
    return tuple(encode_message(message) for message in messages)
