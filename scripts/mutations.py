"""Mutation tests: applies deliberate faults to copies of the code and runs tests.

Each fault has a test that must fail with it; the exit status is 1 if one passes.
"""

import argparse
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
COPIED_PATHS = (
    *("pollenmount", "standins", "scripts", "tests", "examples", "bench"),
    *("pyproject.toml", "KNOWN-RED.txt"),
)
TEST_TIMEOUT_S = 120
ROW = "{:54} {:42} {}"

RAFT_TESTS = "tests/stateful/test_raft.py"
RAFT_RULES_TESTS = "tests/stateful/test_raft_rules.py"
ELECTION = "pollenmount/consensus/election.py"
REPLICATION = "pollenmount/consensus/replication.py"
MEMBERSHIP = "pollenmount/consensus/membership.py"
MESSAGES = "pollenmount/consensus/messages.py"
STATE = "pollenmount/consensus/state.py"
JOURNAL = "pollenmount/consensus/journal.py"
RECORD = "pollenmount/consensus/record.py"
JOURNAL_TESTS = "tests/stateful/test_journal.py"
GROUP = "pollenmount/consensus/group.py"
CLIENT = "pollenmount/consensus/client.py"
DISK_FAULT_TESTS = "tests/faults/test_groups_disk.py"
GROUP_CLIENT_TESTS = "tests/faults/test_groups_client.py"
JOINING_TESTS = "tests/test_joining.py"
RAFT_MODULE = "pollenmount/consensus/raft.py"


class Mutation(NamedTuple):
    """One fault: the text to replace in a file, and the test that must detect it."""

    name: str
    path: str
    old: str
    new: str
    test: str


MUTATIONS = (
    Mutation(
        "vote not stored",
        ELECTION,
        "ctx.save_vote(state.term, sender)",
        "pass",
        RAFT_RULES_TESTS,
    ),
    Mutation(
        "vote stored in memory only",
        STATE,
        "self.emit(SaveVote(term, voted_for))",
        "pass",
        RAFT_TESTS,
    ),
    Mutation(
        "vote granted to an older log",
        ELECTION,
        "return (request.last_term, request.last_index) >= own",
        "return True",
        RAFT_TESTS,
    ),
    Mutation(
        "entry of an older term committed by counting replicas",
        REPLICATION,
        "index > state.commit and state.log.term_at(index) == state.term",
        "index > state.commit",
        RAFT_RULES_TESTS,
    ),
    Mutation(
        "half of the voters taken for a majority",
        MESSAGES,
        "return held * 2 > len(voters)",
        "return held * 2 >= len(voters) - 1",
        RAFT_TESTS,
    ),
    Mutation(
        "commit without a majority",
        REPLICATION,
        "return matches[(len(matches) - 1) // 2]",
        "return matches[-1]",
        RAFT_TESTS,
    ),
    Mutation(
        "old voters ignored in a joint configuration",
        MESSAGES,
        "return (self.voters, self.outgoing) if self.outgoing else (self.voters,)",
        "return (self.voters,)",
        RAFT_RULES_TESTS,
    ),
    Mutation(
        "conflicting entries not removed",
        REPLICATION,
        "if log.term_at(index) != entry.term:",
        "if index > log.last_index:",
        RAFT_TESTS,
    ),
    Mutation(
        "append accepted without a matching previous entry",
        REPLICATION,
        "if state.log.term_at(message.prev_index) != message.prev_term:",
        "if message.prev_index > state.log.last_index:",
        RAFT_TESTS,
    ),
    Mutation(
        "read served without a quorum",
        REPLICATION,
        "if state.configuration.has_quorum({*answered, state.me}):",
        "if True:",
        RAFT_TESTS,
    ),
    Mutation(
        "read confirmed by an earlier round",
        REPLICATION,
        "pending = PendingRead(id_, state.commit, state.round + 1)",
        "pending = PendingRead(id_, state.commit, state.round - 1)",
        RAFT_TESTS,
    ),
    Mutation(
        "read served before the term's first commit",
        REPLICATION,
        "if state.role is not Role.LEADER or not has_committed_in_term:",
        "if state.role is not Role.LEADER:",
        RAFT_TESTS,
    ),
    Mutation(
        "lost voter not replaced",
        MEMBERSHIP,
        "membership.repair(ctx)",
        "pass",
        RAFT_TESTS,
    )._replace(path=RAFT_MODULE),
    Mutation(
        "learner made a voter before it caught up",
        MEMBERSHIP,
        "is_live and progress.match_index >= state.commit",
        "True or progress.match_index",
        RAFT_RULES_TESTS,
    ),
    Mutation(
        "voter replaced without a joint configuration",
        MEMBERSHIP,
        "append_configuration(ctx, Configuration(voters, configuration.voters))",
        "append_configuration(ctx, Configuration(voters))",
        RAFT_RULES_TESTS,
    ),
    Mutation(
        "change started before the previous one is committed",
        MEMBERSHIP,
        "state.commit >= state.configuration_index\n        and",
        "state.commit >= 0\n        and",
        RAFT_RULES_TESTS,
    ),
    Mutation(
        "joint configuration left before it is committed",
        MEMBERSHIP,
        "if state.commit < state.configuration_index:",
        "if state.commit < 0:",
        RAFT_RULES_TESTS,
    ),
    Mutation(
        "snapshot index one too high",
        REPLICATION,
        "snapshot = Snapshot(index, term,",
        "snapshot = Snapshot(index + 1, term,",
        RAFT_TESTS,
    ),
    Mutation(
        "election without a pre-vote",
        ELECTION,
        "    if has_won(ctx):\n        start_election(ctx)\n\n\ndef start_election",
        "    start_election(ctx)\n\n\ndef start_election",
        RAFT_RULES_TESTS,
    ),
    Mutation(
        "leader that lost its quorum does not step down",
        RAFT_MODULE,
        "if not state.configuration.has_quorum({*heard, state.me}):",
        "if False:",
        RAFT_TESTS,
    ),
    Mutation(
        "save without a sync",
        JOURNAL,
        "            self.disk.sync(JOURNAL)\n        self.size",
        "            pass\n        self.size",
        JOURNAL_TESTS,
    ),
    Mutation(
        "file renamed without a sync",
        JOURNAL,
        "self.disk.sync(name + TEMPORARY_SUFFIX)",
        "pass",
        JOURNAL_TESTS,
    ),
    Mutation(
        "folder not synced after a rename",
        JOURNAL,
        "self.disk.sync_folder()",
        "pass",
        JOURNAL_TESTS,
    ),
    Mutation(
        "torn tail not truncated",
        JOURNAL,
        "self.disk.truncate(JOURNAL, scanned.end)",
        "pass",
        JOURNAL_TESTS,
    ),
    Mutation(
        "partial write not truncated",
        JOURNAL,
        "self.disk.truncate(JOURNAL, self.size)",
        "pass",
        JOURNAL_TESTS,
    ),
    Mutation(
        "journal not replaced after a snapshot",
        JOURNAL,
        "term, voted_for, log, commit)\n\n    def rewrite",
        "term, voted_for, log, commit) if 0 else None\n\n    def rewrite",
        JOURNAL_TESTS,
    ),
    Mutation(
        "entries that conflict with a snapshot kept",
        JOURNAL,
        "if log != saved.log:",
        "if False:",
        JOURNAL_TESTS,
    ),
    Mutation(
        "checksum not verified",
        RECORD,
        "return content if checksum(salt, content) == expected else None",
        "return content",
        JOURNAL_TESTS,
    ),
    Mutation(
        "corrupt record treated as a torn tail",
        RECORD,
        "has_valid_record_after(data, end, salt)",
        "False",
        JOURNAL_TESTS,
    ),
    Mutation(
        "failed sync not remembered",
        JOURNAL,
        "self.failed = True",
        "pass",
        JOURNAL_TESTS,
    ),
    Mutation(
        "reply sent before the entries are saved",
        GROUP,
        "self.worker.run(self.journal.save, *vote, saves, state.commit)",
        "pass",
        DISK_FAULT_TESTS,
    ),
    Mutation(
        "batch kept after a full disk",
        GROUP,
        "self.drop_batch(batch, proposals, error)\n            return",
        "self.drop_batch(batch, proposals, error)",
        DISK_FAULT_TESTS,
    ),
    Mutation(
        "commit index never saved",
        GROUP,
        "self.journal.commit < self.state.commit\n            and",
        "False\n            and",
        "tests/faults/test_groups.py -k alone",
    ),
    Mutation(
        "unknown outcome reported as not run",
        CLIENT,
        "self.maybe_appended |= reply.outcome is ProposalOutcome.UNKNOWN",
        "pass",
        GROUP_CLIENT_TESTS,
    ),
    Mutation(
        "lost call reported as not run",
        CLIENT,
        "self.maybe_appended |= reply.err_value.sent",
        "pass",
        GROUP_CLIENT_TESTS,
    ),
    Mutation(
        "overwritten proposal reported as applied",
        "pollenmount/consensus/pending.py",
        "is_same_term = proposed_term == term",
        "is_same_term = True",
        GROUP_CLIENT_TESTS,
    ),
    Mutation(
        "group reinitialized from an empty disk",
        "pollenmount/consensus/joining.py",
        "if uninitialized.keys() == others.keys():",
        "if uninitialized:",
        GROUP_CLIENT_TESTS,
    ),
    Mutation(
        "two voters that ask at once both go on",
        ELECTION,
        "if granted and is_preferred(state, message, sender):",
        "if False:",
        "tests/stateful/test_raft_split_votes.py",
    ),
    Mutation(
        "one witness of three proves that there is no group",
        "pollenmount/consensus/founding.py",
        "2 * others <= len(self.voters)",
        "True",
        JOINING_TESTS,
    ),
    Mutation(
        "VM without a vote is a witness that there is no group",
        "pollenmount/consensus/founding.py",
        "self.may_bootstrap and self.me in self.voters and self.voters == {*voters}",
        "self.may_bootstrap",
        JOINING_TESTS,
    ),
    Mutation(
        "unresponsive leader tried first",
        CLIENT,
        "key=self.is_suspect)",
        "key=bool)",
        GROUP_CLIENT_TESTS,
    ),
    Mutation(
        "equal plan number accepted",
        "pollenmount/plans/machine.py",
        "command.number > newest",
        "command.number >= newest",
        "tests/test_plan_machine.py",
    ),
    Mutation(
        "reservation released though the action may have run",
        "pollenmount/actions/runner.py",
        "ActionState.RELEASED if head.not_run else ActionState.UNKNOWN",
        "ActionState.RELEASED",
        "tests/stateful/test_actions.py",
    ),
)


UNCHANGED = Mutation(
    "no fault", RAFT_MODULE, "FIRST_TERM = 1\n", "FIRST_TERM = 1\n", ""
)


def run_mutation(mutation, verbose):
    """Apply a mutation to a copy of the code; return whether its test fails."""
    with tempfile.TemporaryDirectory() as folder:
        copy_repository(Path(folder))
        path = Path(folder) / mutation.path
        source = path.read_text()
        if source.count(mutation.old) != 1:
            raise SystemExit(
                f"{mutation.name}: its text must occur once in {mutation.path}"
            )
        path.write_text(source.replace(mutation.old, mutation.new))
        pytest_run = subprocess.run(
            [sys.executable, "-m", "pytest", "-x", *mutation.test.split()],
            cwd=folder,
            capture_output=True,
            text=True,
            check=False,
            timeout=TEST_TIMEOUT_S,
        )
    if verbose:
        lines = [
            line for line in pytest_run.stdout.splitlines() if line.startswith("E  ")
        ]
        print(mutation.name, pytest_run.returncode, *lines[:3], sep="\n    ")
    if pytest_run.returncode not in (0, 1):
        raise SystemExit(
            f"pytest {mutation.test} failed to run:\n{pytest_run.stdout[-500:]}"
        )
    return pytest_run.returncode == 1


def copy_repository(folder):
    """Copy the files that the tests need."""
    for name in COPIED_PATHS:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, folder / name)
        else:
            shutil.copy(source, folder / name)


def main():
    """Run all mutations, or those with a word in their name; print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("word", nargs="?", default="")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--verbose", action="store_true")
    args = parser.parse_args()
    selected = [mutation for mutation in MUTATIONS if args.word in mutation.name]
    runnable = [
        mutation for mutation in selected if (ROOT / mutation.test.split()[0]).exists()
    ]
    for mutation in (mutation for mutation in selected if mutation not in runnable):
        print(ROW.format(mutation.name, mutation.test, "NOT RUN: test file is missing"))
    tests = sorted({mutation.test for mutation in runnable})
    with ThreadPoolExecutor(args.jobs) as pool:
        # A test that already fails without a fault would count as detecting each fault.
        failures = list(
            pool.map(
                lambda test: run_mutation(UNCHANGED._replace(test=test), False), tests
            )
        )
    if any(failures):
        raise SystemExit("a test already fails without a fault; fix it first")
    with ThreadPoolExecutor(args.jobs) as pool:
        caught = list(
            pool.map(lambda mutation: run_mutation(mutation, args.verbose), runnable)
        )
    for mutation, is_caught in zip(runnable, caught, strict=True):
        verdict = "caught" if is_caught else "SURVIVED"
        print(ROW.format(mutation.name, mutation.test.split("::")[-1], verdict))
    print(f"{sum(caught)} of {len(caught)} caught")
    return 0 if all(caught) else 1


if __name__ == "__main__":
    sys.exit(main())
