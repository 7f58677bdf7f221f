"""Replication: sending and storing entries, committing, reads, snapshots."""

from pollenmount.consensus.dispatch import receive
from pollenmount.consensus.messages import (
    Append,
    AppendReply,
    InstallSnapshot,
    Snapshot,
    TimeoutNow,
)
from pollenmount.consensus.state import (
    Log,
    PendingRead,
    ReadFailed,
    ReadReady,
    ReplicaProgress,
    Role,
    SaveSnapshot,
    find_configuration,
)

__all__ = [
    "advance_commit",
    "advance_leader",
    "compact",
    "complete_transfer",
    "confirm_reads",
    "heartbeat",
    "read",
    "replicate",
]


def advance_leader(ctx):
    """Advance what depends on the leader's state: commit index, reads, transfer."""
    sync_progress_members(ctx)
    advance_commit(ctx)
    confirm_reads(ctx)
    complete_transfer(ctx)


def sync_progress_members(ctx):
    """Track the progress of exactly the other members."""
    state = ctx.state
    others = state.configuration.members - {state.me}
    if others == state.progress.keys():
        return
    initial = ReplicaProgress(state.log.last_index + 1, ctx.now)
    progress = {other: state.progress.get(other, initial) for other in others}
    ctx.update(progress=progress)


def replicate(ctx):
    """Send each replica the entries not sent yet, within the in-flight limit."""
    state = ctx.state
    for replica, progress in sorted(state.progress.items()):
        in_flight = progress.next_index - progress.match_index
        is_within_window = (
            not progress.match_index or in_flight < state.timing.max_in_flight_entries
        )
        if progress.next_index <= state.log.last_index and is_within_window:
            send_entries(ctx, replica)


def heartbeat(ctx):
    """Start a new round: send every replica a message, with entries or without."""
    ctx.update(
        round=ctx.state.round + 1,
        heartbeat_at=ctx.now + ctx.state.timing.heartbeat_ms,
    )
    for replica in sorted(ctx.state.progress):
        send_entries(ctx, replica)


def send_entries(ctx, replica):
    """Send the entries from `next_index` on, or a snapshot if they are compacted."""
    state = ctx.state
    progress = state.progress[replica]
    if progress.next_index <= state.log.base_index:
        send_snapshot(ctx, replica)
        return
    entries = limit_bytes(
        state.log.after(progress.next_index - 1), state.timing.max_message_bytes
    )
    send_append(ctx, replica, progress.next_index - 1, entries)
    ctx.update_progress(replica, next_index=progress.next_index + len(entries))


def send_append(ctx, replica, prev_index, entries):
    """Send one `Append`."""
    state = ctx.state
    prev_term = state.log.term_at(prev_index)
    message = Append(
        state.term, prev_index, prev_term, entries, state.commit, state.round
    )
    ctx.send(replica, message)


def limit_bytes(entries, limit):
    """Return the first entries, up to about `limit` bytes but at least one."""
    size = 0
    for count, entry in enumerate(entries, start=1):
        size += len(entry.body)
        if size >= limit:
            return entries[:count]
    return entries


def send_snapshot(ctx, replica):
    """Send the snapshot, or a heartbeat if the snapshot was sent lately."""
    state = ctx.state
    last_sent_at = state.progress[replica].snapshot_sent_at
    if (
        last_sent_at is not None
        and ctx.now - last_sent_at < state.timing.snapshot_resend_ms
    ):
        send_append(ctx, replica, state.log.base_index, ())
        return
    ctx.send(replica, InstallSnapshot(state.term, state.snapshot, state.round))
    ctx.update_progress(replica, snapshot_sent_at=ctx.now)


def advance_commit(ctx):
    """Commit what a quorum holds, if its last entry is of the leader's own term."""
    state = ctx.state
    index = min(
        quorum_match_index(state, voters) for voters in state.configuration.voter_sets
    )
    if index > state.commit and state.log.term_at(index) == state.term:
        ctx.update(commit=index)


def quorum_match_index(state, voters):
    """Return the highest index that a majority of `voters` holds."""
    matches = sorted(match_index_of(state, voter) for voter in voters)
    return matches[(len(matches) - 1) // 2]


def match_index_of(state, replica):
    """Return the highest index that `replica` is known to hold."""
    if replica == state.me:
        return state.log.last_index
    return state.progress[replica].match_index


def read(ctx, id_):
    """Start a linearizable read: a quorum must confirm this leader in a new round."""
    state = ctx.state
    has_committed_in_term = state.log.term_at(state.commit) == state.term
    if state.role is not Role.LEADER or not has_committed_in_term:
        ctx.emit(ReadFailed(id_))
        return
    pending = PendingRead(id_, state.commit, state.round + 1)
    ctx.update(reads=(*state.reads, pending))
    heartbeat(ctx)


def confirm_reads(ctx):
    """Complete the reads whose round a quorum has answered."""
    state = ctx.state
    unconfirmed = []
    for pending in state.reads:
        answered = {r for r, p in state.progress.items() if p.round >= pending.round}
        if state.configuration.has_quorum({*answered, state.me}):
            ctx.emit(ReadReady(pending.id, pending.index))
        else:
            unconfirmed.append(pending)
    ctx.update(reads=tuple(unconfirmed))


def complete_transfer(ctx):
    """Tell the successor to start an election, once it holds the whole log."""
    state = ctx.state
    successor = state.transfer_to
    if successor is None or successor not in state.progress:
        return
    if state.progress[successor].match_index == state.log.last_index:
        ctx.send(successor, TimeoutNow(state.term))
        ctx.update(transfer_to=None)


def compact(ctx, index, data):
    """Take a new snapshot as of `index` and shorten the log."""
    state = ctx.state
    if not state.snapshot.index < index <= state.commit:
        return
    configuration_fields = find_configuration(
        log_up_to(state.log, index), state.snapshot
    )
    term = state.log.term_at(index)
    snapshot = Snapshot(index, term, configuration_fields["configuration"], data)
    base_index = max(state.log.base_index, index - state.timing.retained_entries)
    ctx.update(snapshot=snapshot, log=state.log.compacted_to(base_index))
    ctx.emit(SaveSnapshot(snapshot))


def log_up_to(log, index):
    """Return the log up to `index`."""
    return log.replaced_from(index + 1, ())


@receive.register
def _(message: Append, ctx, sender):
    ctx.update(heard_at=ctx.now)
    ctx.set_election_timer()
    message = skip_compacted(message, ctx.state.log)
    state = ctx.state
    if state.log.term_at(message.prev_index) != message.prev_term:
        hint = min(message.prev_index - 1, state.log.last_index)
        if message.prev_index <= state.log.last_index:
            hint = state.commit
        ctx.send(sender, AppendReply(state.term, False, hint, message.round))
        return
    store_entries(ctx, message)
    last_matching = message.prev_index + len(message.entries)
    ctx.update(commit=max(ctx.state.commit, min(message.commit, last_matching)))
    ctx.send(sender, AppendReply(state.term, True, last_matching, message.round))


def skip_compacted(message, log):
    """Return the message without entries that this log has compacted."""
    compacted = log.base_index - message.prev_index
    if compacted <= 0:
        return message
    if len(message.entries) < compacted:
        # All entries of the message are committed here, so they match.
        return message._replace(
            prev_index=log.base_index, prev_term=log.base_term, entries=()
        )
    return message._replace(
        prev_index=log.base_index,
        prev_term=log.base_term,
        entries=message.entries[compacted:],
    )


def store_entries(ctx, message):
    """Append the entries that the log lacks, in place of conflicting ones."""
    log = ctx.state.log
    index = message.prev_index
    for position, entry in enumerate(message.entries):
        index += 1
        if log.term_at(index) != entry.term:
            ctx.replace_entries(index, message.entries[position:])
            return


@receive.register
def _(message: InstallSnapshot, ctx, sender):
    ctx.update(heard_at=ctx.now)
    ctx.set_election_timer()
    state = ctx.state
    snapshot = message.snapshot
    if snapshot.index > state.commit:
        if state.log.term_at(snapshot.index) == snapshot.term:
            log = state.log.compacted_to(snapshot.index)
        else:
            log = Log(snapshot.index, snapshot.term)
        ctx.update(snapshot=snapshot, log=log, commit=snapshot.index)
        ctx.update(**find_configuration(log, snapshot))
        ctx.emit(SaveSnapshot(snapshot))
    reply = AppendReply(state.term, True, ctx.state.commit, message.round)
    ctx.send(sender, reply)


@receive.register
def _(message: AppendReply, ctx, sender):
    state = ctx.state
    progress = state.progress.get(sender)
    if state.role is not Role.LEADER or progress is None:
        return
    # It would count as holding entries, and as confirming reads, that are yet to come.
    if message.index > state.log.last_index or message.round > state.round:
        return
    changes = {
        "heard_at": ctx.now,
        "uncounted_ms": 0,
        "round": max(progress.round, message.round),
    }
    if message.accepted:
        match_index = max(progress.match_index, message.index)
        changes["match_index"] = match_index
        changes["next_index"] = max(progress.next_index, match_index + 1)
    else:
        changes["next_index"] = max(progress.match_index, message.index) + 1
    ctx.update_progress(sender, **changes)
