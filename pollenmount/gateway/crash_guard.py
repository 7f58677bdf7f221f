"""Keeps calls that crash targets from being sent on, by their request or its prompt."""

__all__ = ["CrashGuard"]


class CrashGuard:
    """The `PromptGuard` and the `RequestGuard` of this VM."""

    def __init__(self, prompts, requests):
        self.prompts = prompts
        self.requests = requests

    def record_answered(self, call, progress):
        """Record that a target has answered a call, or begun to."""
        self.prompts.record_served(call.info.prompt)
        self.requests.record_answered(progress.digest)

    def record_failure(self, call, progress, destination, error):
        """Report a failed attempt that may have crashed its target."""
        self.prompts.record_break(call.info.prompt, destination, progress, error)
        self.requests.record_failure(call, progress, destination, error)

    def may_crash_again(self, call, progress, error, sleep):
        """Return whether the prompt of a failed attempt may crash another target.

        If the request itself is suspected, this waits for news of it, which puts it in
        quarantine. `sleep` waits for a number of milliseconds.
        """
        self.requests.wait_for_verdict(call, progress, sleep)
        return self.prompts.may_crash_again(call.info.prompt, progress, error, sleep)

    def record_refused_hop(self, progress, error):
        """Note that another region's VM knows of a quarantine before this one does."""
        if error.quarantine_ms:
            progress.quarantine = "another region has the request in quarantine"
            progress.quarantine_ms = error.quarantine_ms

    def find_quarantine(self, call, progress):
        """Return why a call is in quarantine, or ''; log it and note for how long."""
        left_ms = self.requests.left_ms(progress.digest)
        if left_ms:
            progress.quarantine_ms = left_ms
            self.requests.record_refusal(call, progress.digest, left_ms)
            return "the request is in quarantine"
        left_ms = self.prompts.left_ms(call.info.prompt)
        if left_ms:
            progress.quarantine_ms = left_ms
            self.prompts.record_refusal(call, left_ms)
            return "a part of the prompt is in quarantine"
        return ""
