"""Admission by the level of a bucket that all VMs share, a fraction of a second old."""

__all__ = [
    "MAX_WAIT_MS",
    "admission_probability",
    "extrapolate_level",
    "find_wait_ms",
]

# Time constant with which the level returns to 0 where more is requested than the rate.
# It is several times the age of the level, so that the level doesn't oscillate.
SETTLE_MS = 2000
MAX_WAIT_MS = 60_000


def admission_probability(level, asked_per_ms, part, limits):
    """Return the probability with which a request is admitted.

    `part` is the part of the rate that refills the bucket, and `asked_per_ms` what
    requests of the account cost, refused ones included.
    """
    if level >= limits.threshold * part and part > 0:
        return 1.0
    target = limits.per_ms * part + level / SETTLE_MS
    if target <= 0:
        return 0.0
    return min(1.0, target / asked_per_ms) if asked_per_ms > 0 else 1.0


def extrapolate_level(level, asked_per_ms, part, limits, elapsed_ms):
    """Return a level after some time, if as much is requested as before."""
    probability = admission_probability(level, asked_per_ms, part, limits)
    change_per_ms = limits.per_ms * part - asked_per_ms * probability
    after = level + change_per_ms * elapsed_ms
    return min(limits.capacity * part, max(limits.floor, after))


def find_wait_ms(cost, level, part, limits):
    """Return after how many ms without other requests a request is admitted."""
    per_ms = limits.per_ms * part
    if per_ms <= 0 or cost > limits.largest:
        return MAX_WAIT_MS
    needs_all = cost > limits.capacity * part
    needed = limits.capacity if needs_all else limits.threshold
    wait_ms = (needed * part - level) / per_ms
    return int(min(MAX_WAIT_MS, max(1, wait_ms + 1)))
