"""Applies deliberate faults to a copy of the package and runs the test of each.

Every fault must be caught: the exit status is 1 if a test passes with its fault in.
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
COPIED = (
    *("pollenmount", "standins", "scripts", "tests", "examples", "bench"),
    *("pyproject.toml", "KNOWN-RED.txt"),
)
TEST_TIMEOUT_S = 120
ROW = "{:44} {:42} {}"

RAFT = "tests/stateful/test_raft.py"
RULES = "tests/stateful/test_raft_rules.py"
ELECTION = "pollenmount/consensus/election.py"
REPLICATION = "pollenmount/consensus/replication.py"
MEMBERSHIP = "pollenmount/consensus/membership.py"
MESSAGES = "pollenmount/consensus/messages.py"
STATE = "pollenmount/consensus/state.py"
JOURNAL = "pollenmount/consensus/journal.py"
RECORD = "pollenmount/consensus/record.py"
FILES = "tests/stateful/test_journal.py"
GROUP = "pollenmount/consensus/group.py"
CLIENT = "pollenmount/consensus/client.py"
DISK = "tests/faults/test_groups_disk.py"
TOLD = "tests/faults/test_groups_client.py"
STEP = "pollenmount/consensus/raft.py"


class Mutation(NamedTuple):
    """One fault: the text of a file that is replaced, and the test that catches it."""

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
        RULES,
    ),
    Mutation(
        "vote stored in memory only",
        STATE,
        "self.emit(SaveVote(term, voted_for))",
        "pass",
        RAFT,
    ),
    Mutation(
        "vote for an older log",
        ELECTION,
        "return (request.last_term, request.last_index) >= own",
        "return True",
        RAFT,
    ),
    Mutation(
        "old term's entry committed by counting",
        REPLICATION,
        "index > state.commit and state.log.term_at(index) == state.term",
        "index > state.commit",
        RULES,
    ),
    Mutation(
        "half of the voters is a majority",
        MESSAGES,
        "return held * 2 > len(voters)",
        "return held * 2 >= len(voters) - 1",
        RAFT,
    ),
    Mutation(
        "commit without a majority",
        REPLICATION,
        "return matches[(len(matches) - 1) // 2]",
        "return matches[-1]",
        RAFT,
    ),
    Mutation(
        "old voters ignored in a joint change",
        MESSAGES,
        "return (self.voters, self.outgoing) if self.outgoing else (self.voters,)",
        "return (self.voters,)",
        RULES,
    ),
    Mutation(
        "conflicting entries kept",
        REPLICATION,
        "if log.term_at(index) != entry.term:",
        "if index > log.last_index:",
        RAFT,
    ),
    Mutation(
        "append accepted without matching",
        REPLICATION,
        "if state.log.term_at(message.prev_index) != message.prev_term:",
        "if message.prev_index > state.log.last_index:",
        RAFT,
    ),
    Mutation(
        "read answered without asking a quorum",
        REPLICATION,
        "if state.configuration.has_quorum({*answered, state.me}):",
        "if True:",
        RAFT,
    ),
    Mutation(
        "read answered by an earlier round",
        REPLICATION,
        "pending = PendingRead(id_, state.commit, state.round + 1)",
        "pending = PendingRead(id_, state.commit, state.round - 1)",
        RAFT,
    ),
    Mutation(
        "read before this term's first commit",
        REPLICATION,
        "if state.role is not Role.LEADER or not has_committed_in_term:",
        "if state.role is not Role.LEADER:",
        RAFT,
    ),
    Mutation(
        "lost voter not replaced",
        MEMBERSHIP,
        "membership.repair(ctx)",
        "pass",
        RAFT,
    )._replace(path=STEP),
    Mutation(
        "learner swapped in before it caught up",
        MEMBERSHIP,
        "is_live and progress.match_index >= state.commit",
        "True or progress.match_index",
        RULES,
    ),
    Mutation(
        "swap in one step instead of a joint change",
        MEMBERSHIP,
        "append_configuration(ctx, Configuration(voters, configuration.voters))",
        "append_configuration(ctx, Configuration(voters))",
        RULES,
    ),
    Mutation(
        "next change before the last is committed",
        MEMBERSHIP,
        "state.commit >= state.configuration_index\n        and",
        "state.commit >= 0\n        and",
        RULES,
    ),
    Mutation(
        "joint change ended before it is committed",
        MEMBERSHIP,
        "if state.commit < state.configuration_index:",
        "if state.commit < 0:",
        RULES,
    ),
    Mutation(
        "snapshot labelled one too high",
        REPLICATION,
        "snapshot = Snapshot(index, term,",
        "snapshot = Snapshot(index + 1, term,",
        RAFT,
    ),
    Mutation(
        "no vote asked for beforehand",
        ELECTION,
        "    if has_won(ctx):\n        start_election(ctx)\n\n\ndef start_election",
        "    start_election(ctx)\n\n\ndef start_election",
        RULES,
    ),
    Mutation(
        "leader without a quorum stays",
        STEP,
        "if not state.configuration.has_quorum({*heard, state.me}):",
        "if False:",
        RAFT,
    ),
    Mutation(
        "sync of a save left out",
        JOURNAL,
        "            self.disk.sync(JOURNAL)\n        self.size",
        "            pass\n        self.size",
        FILES,
    ),
    Mutation(
        "sync before renaming left out",
        JOURNAL,
        "self.disk.sync(name + TEMPORARY_SUFFIX)",
        "pass",
        FILES,
    ),
    Mutation(
        "sync of the folder left out",
        JOURNAL,
        "self.disk.sync_folder()",
        "pass",
        FILES,
    ),
    Mutation(
        "torn tail not cut",
        JOURNAL,
        "self.disk.truncate(JOURNAL, scanned.end)",
        "pass",
        FILES,
    ),
    Mutation(
        "partial write not undone",
        JOURNAL,
        "self.disk.truncate(JOURNAL, self.size)",
        "pass",
        FILES,
    ),
    Mutation(
        "journal not replaced after a snapshot",
        JOURNAL,
        "term, voted_for, log, commit)\n\n    def rewrite",
        "term, voted_for, log, commit) if 0 else None\n\n    def rewrite",
        FILES,
    ),
    Mutation(
        "entries kept that the snapshot contradicts",
        JOURNAL,
        "if log != saved.log:",
        "if False:",
        FILES,
    ),
    Mutation(
        "checksum not looked at",
        RECORD,
        "return content if checksum(salt, content) == expected else None",
        "return content",
        FILES,
    ),
    Mutation(
        "damage taken for a torn tail",
        RECORD,
        "has_valid_record_after(data, end, salt)",
        "False",
        FILES,
    ),
    Mutation(
        "failed sync forgotten",
        JOURNAL,
        "self.failed = True",
        "pass",
        FILES,
    ),
    Mutation(
        "answer leaves before anything is saved",
        GROUP,
        "self.worker.run(self.journal.save, *vote, saves, state.commit)",
        "pass",
        DISK,
    ),
    Mutation(
        "batch kept that the disk had no room for",
        GROUP,
        "self.drop_batch(batch, proposals, error)\n            return",
        "self.drop_batch(batch, proposals, error)",
        DISK,
    ),
    Mutation(
        "commit index never saved",
        GROUP,
        "self.journal.commit < self.state.commit\n            and",
        "False\n            and",
        "tests/faults/test_groups.py -k alone",
    ),
    Mutation(
        "unknown outcome told as not run",
        CLIENT,
        "self.maybe_appended |= reply.outcome is ProposalOutcome.UNKNOWN",
        "pass",
        TOLD,
    ),
    Mutation(
        "lost call told as not run",
        CLIENT,
        "self.maybe_appended |= reply.err_value.sent",
        "pass",
        TOLD,
    ),
    Mutation(
        "overwritten proposal told as applied",
        "pollenmount/consensus/pending.py",
        "is_same_term = proposed_term == term",
        "is_same_term = True",
        TOLD,
    ),
    Mutation(
        "group started anew from an empty disk",
        "pollenmount/consensus/joining.py",
        "if uninitialized.keys() == others.keys():",
        "if uninitialized:",
        TOLD,
    ),
    Mutation(
        "silent leader asked first",
        CLIENT,
        "key=self.is_suspect)",
        "key=bool)",
        TOLD,
    ),
    Mutation(
        "equal plan number accepted",
        "pollenmount/plans/machine.py",
        "command.number > newest",
        "command.number >= newest",
        "tests/test_plan_machine.py",
    ),
    Mutation(
        "release after an unproven failure",
        "pollenmount/actions/runner.py",
        "ActionState.RELEASED if head.not_run else ActionState.UNKNOWN",
        "ActionState.RELEASED",
        "tests/stateful/test_actions.py",
    ),
)


NO_FAULT = Mutation("no fault", STEP, "FIRST_TERM = 1\n", "FIRST_TERM = 1\n", "")


def run(mutation, verbose):
    """Return whether the test of a mutation fails, in a copy of its own."""
    with tempfile.TemporaryDirectory() as folder:
        copy_package(Path(folder))
        path = Path(folder) / mutation.path
        text = path.read_text()
        if text.count(mutation.old) != 1:
            raise SystemExit(
                f"{mutation.name}: its text is not once in {mutation.path}"
            )
        path.write_text(text.replace(mutation.old, mutation.new))
        ended = subprocess.run(
            [sys.executable, "-m", "pytest", "-x", *mutation.test.split()],
            cwd=folder,
            capture_output=True,
            text=True,
            check=False,
            timeout=TEST_TIMEOUT_S,
        )
    if verbose:
        lines = [line for line in ended.stdout.splitlines() if line.startswith("E  ")]
        print(mutation.name, ended.returncode, *lines[:3], sep="\n    ")
    if ended.returncode not in (0, 1):
        raise SystemExit(f"{mutation.test} can't be run:\n{ended.stdout[-500:]}")
    return ended.returncode == 1


def copy_package(folder):
    """Copy what the tests need."""
    for name in COPIED:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, folder / name)
        else:
            shutil.copy(source, folder / name)


def main():
    """Run all mutations, or those whose name holds a word; print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("word", nargs="?", default="")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--verbose", action="store_true")
    flags = parser.parse_args()
    named = [mutation for mutation in MUTATIONS if flags.word in mutation.name]
    chosen = [m for m in named if (ROOT / m.test.split()[0]).exists()]
    for mutation in (m for m in named if m not in chosen):
        print(ROW.format(mutation.name, mutation.test, "NOT RUN: no such test here"))
    tests = sorted({mutation.test for mutation in chosen})
    with ThreadPoolExecutor(flags.jobs) as pool:
        # A test that fails without any fault would seem to catch all of them.
        unsound = list(pool.map(lambda t: run(NO_FAULT._replace(test=t), False), tests))
    if any(unsound):
        raise SystemExit("a test fails without any fault; mend it first")
    with ThreadPoolExecutor(flags.jobs) as pool:
        caught = list(pool.map(lambda m: run(m, flags.verbose), chosen))
    for mutation, was_caught in zip(chosen, caught, strict=True):
        verdict = "caught" if was_caught else "SURVIVED"
        print(ROW.format(mutation.name, mutation.test.split("::")[-1], verdict))
    print(f"{sum(caught)} of {len(caught)} caught")
    return 0 if all(caught) else 1


if __name__ == "__main__":
    sys.exit(main())
