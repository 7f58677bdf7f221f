"""What one connection of a VM holds, and how it proceeds."""

from enum import StrEnum

__all__ = ["Holding", "Phase", "charge", "holding_of"]

# Time without progress after which a transfer is the first to be shed.
STALL_MS = 2000
# Fewer bytes than these in that time are no progress.
MIN_PROGRESS_BYTES = 512


class Phase(StrEnum):
    """What a connection does."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    RUNNING = "running"
    RESPONSE = "response"
    LINGERING = "lingering"


class Holding:
    """The memory of one connection from `address`, in the phase that it is in.

    `owner` is the account of its request, or its address if that is not known.

    `held` counts the bytes of its body and response, `ahead` those among them that have
    not arrived yet, and `queued` those in the kernel's buffers as measured last. `end`
    closes the connection, or refuses its request if the body has not arrived, and
    `is_ended` tells that it was called in this phase. `measure` returns the bytes in
    the kernel's buffers.
    """

    def __init__(self, budget, address, end=None, measure=lambda: 0):
        self.budget = budget
        self.address = address
        self.owner = address
        self.end = end
        self.measure = measure
        self.phase = Phase.IDLE
        self.held = 0
        self.ahead = 0
        self.queued = 0
        self.progress = 0
        self.progress_at = budget.clock.now()
        self.is_ended = False

    @property
    def size(self):
        """Return the bytes that the connection holds, those of the kernel included."""
        return self.held + self.queued

    def enter(self, phase):
        """Begin a phase."""
        self.phase = phase
        if phase is Phase.IDLE:
            self.owner = self.address
        self.is_ended = False
        self.progress = 0
        self.progress_at = self.budget.clock.now()

    def note_progress(self, count):
        """Note bytes that have been received or sent."""
        self.progress += count
        if self.progress >= MIN_PROGRESS_BYTES:
            self.progress = 0
            self.progress_at = self.budget.clock.now()

    def update_queued(self):
        """Measure the kernel's buffers; return the bytes in them.

        A reader makes progress while it drains them, although the next block of the
        response does not fit into them yet.
        """
        before, self.queued = self.queued, self.measure()
        if self.phase is Phase.RESPONSE and self.queued < before:
            self.note_progress(before - self.queued)
        return self.queued

    def is_stalled(self, now):
        """Return whether the transfer has made no progress for a while."""
        return now - self.progress_at > STALL_MS

    def reserve(self, count):
        """Reserve bytes of a body, or raise `ByteBudgetExceededError`."""
        self.note_progress(count)
        self.budget.check_open(self)
        self.budget.reserve(count, self)
        self.held += count

    def add(self, count):
        """Add bytes that can't be refused any more, unless the connection is closed."""
        if self not in self.budget.holdings:
            return
        self.budget.used += count
        self.held += count

    def release(self, count):
        """Release reserved bytes, as far as they have not been taken away."""
        count = min(count, self.held)
        self.budget.release(count)
        self.held -= count
        self.ahead = min(self.ahead, self.held)

    def close(self):
        """End the connection's account."""
        self.release(self.held)
        self.budget.remove(self)


def holding_of(request):
    """Return the `Holding` of the connection of a request, None without one."""
    return getattr(request, "holding", None)


def charge(request, account):
    """Let the connection of a request count as one of an account, by its name."""
    holding = holding_of(request)
    if holding is not None:
        holding.owner = f"account {account}"
