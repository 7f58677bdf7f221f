"""Compares routing policies under load and faults, simulated in virtual time.

The production code for routing, limits and retries runs against fake engines. All
variants get the same requests, generated from the same seeds. Prints a table for each
scenario, with medians over the seeds and their spread.
"""

import argparse
import json
import multiprocessing
import random
import statistics
import time
from pathlib import Path

from bench.fakes import FakeEngine
from bench.virtual_time import VirtualTime
from bench.workload import DEPLOYMENTS, OfferedLoad, count_answer_words, make_call
from bench.world import World
from pollenmount.plans.plan import DEFERRED, INTERACTIVE
from pollenmount.plans.sheet import parse_sheet
from pollenmount.plugin import get_plugin_by_name
from pollenmount.routing.policies.base import FAMILY

EXAMPLES = Path(__file__).parent.parent / "examples"
PROCESSES = 4
SEEDS = (1, 2, 3, 4, 5)
WARMUP_MS = 2000
FAULT_AT_MS = 15_000
RECOVERY_AT_MS = 40_000
DRAIN_MS = 60_000
MS_PER_S = 1000
POLICY_PARTS = ("affinity", "gate", "lateness", "correction")
BASELINES = ("round_robin", "random", "least_in_flight", "two_choices", "home_only")
PRINTED_MEASURES = (
    *("engine_s", "computed", "region_kb", "away", "refused", "broken", "goodput"),
    *("i_first50", "i_first95", "i_first99", "i_whole95", "i_whole99"),
    *("d_whole50", "d_whole95", "d_whole99"),
)
COMPARED_MEASURES = (
    *("engine_s", "computed", "region_kb", "away", "refused"),
    *("i_first50", "i_first95", "i_first99", "i_whole95", "i_whole99"),
    *("d_whole50", "d_whole95", "d_whole99"),
)


def peak(world, regions):
    """Inject no fault: only the load peaks."""


def slow(world, regions):
    """Make a target of the first region five times slower during its load peak."""
    world.time.call_at(FAULT_AT_MS, setattr, world.engines_of(regions[0])[0], "slow", 5)


def killed(world, regions):
    """Crash half of the first region's targets; they restart with empty caches."""
    engines = world.engines_of(regions[0])
    for engine in engines[: (len(engines) + 1) // 2]:
        world.time.call_at(FAULT_AT_MS, engine.crash)
        world.time.call_at(RECOVERY_AT_MS, engine.restart)


def cold(world, regions):
    """Crash all targets of the first region; they restart with empty caches."""
    for engine in world.engines_of(regions[0]):
        world.time.call_at(FAULT_AT_MS, engine.crash)
        world.time.call_at(FAULT_AT_MS + 10_000, engine.restart)


def lying(world, regions):
    """Let one target report that it has no load."""
    world.time.call_at(
        FAULT_AT_MS, setattr, world.engines_of(regions[0])[0], "lies", True
    )


SCENARIOS = {f.__name__: f for f in (peak, slow, killed, cold, lying)}


def policy_factory(variant):
    """Return a factory for a variant: `POLICY`, or `POLICY-PART` without that part."""
    name, _, disabled_part = variant.partition("-")
    policy_class = get_plugin_by_name(FAMILY, name)

    def create(tracker, cache, seed):
        policy = policy_class(tracker, cache, seed)
        if disabled_part:
            setattr(policy, disabled_part, False)
        return policy

    return create


def run_scenario(deployment_name, scenario, variant, seed, load=None):
    """Simulate one run and return its measures."""
    deployment = DEPLOYMENTS[deployment_name]
    load = load or OfferedLoad()
    plan = parse_sheet((EXAMPLES / deployment_name / "plan.csv").read_bytes())
    virtual_time = VirtualTime()
    engines = make_engines(virtual_time, deployment, plan)
    world = World(
        virtual_time, plan, deployment.vms, engines, policy_factory(variant), seed
    )
    results = []
    schedule_requests(world, deployment, load, seed, results)
    SCENARIOS[scenario](world, tuple(deployment.vms))
    world.time.run(load.duration_ms + DRAIN_MS)
    return summarize_run(world, results, load)


def make_engines(virtual_time, deployment, plan):
    """Return the fake engines of a deployment, by name."""
    model = plan.models[deployment.model][0]
    engines = {}
    for region, count in deployment.targets.items():
        for number in range(1, count + 1):
            name = f"{region}-engine-{number}"
            engines[name] = FakeEngine(
                virtual_time, name, deployment.slots, model, count_answer_words
            )
    return engines


def schedule_requests(world, deployment, load, seed, results):
    """Schedule the requests; each region has its load peak in its share of the time."""
    rng = random.Random(f"{deployment.name} {seed}")
    regions = tuple(deployment.vms)
    number = 0
    for index, region in enumerate(regions):
        arrival_ms = float(WARMUP_MS)
        while True:
            at_peak = int(arrival_ms * len(regions) / load.duration_ms) == index
            load_share = load.peak if at_peak else load.off_peak
            arrival_ms += rng.expovariate(
                deployment.region_capacity_rps * load_share / MS_PER_S
            )
            if arrival_ms >= load.duration_ms:
                break
            number += 1
            request_rng = random.Random(f"{seed} {region} {number}")
            world.time.call_at(
                arrival_ms,
                world.time.spawn,
                run_request,
                world,
                deployment,
                region,
                request_rng,
                results,
            )


def run_request(world, deployment, region, request_rng, results):
    """Serve one request at a random node of its region and record the result."""
    node = request_rng.choice(world.nodes_of(region))
    call = make_call(request_rng, deployment, world, region, request_rng.random())
    results.append([call, region, None])
    entry = results[-1]
    entry[2] = world.serve_call(node, call)


def summarize_run(world, results, load):
    """Return the measures of a run by name."""
    done = [(call, home, *result) for call, home, result in results if result]
    answered = [row for row in done if row[2] == "answered"]
    measures = {
        "requests": len(results),
        "engine_s": sum(e.busy_ms for e in world.engines.values()) / MS_PER_S,
        "computed": sum(e.computed_words for e in world.engines.values()),
        "region_kb": world.inter_region_bytes / 1024,
        "away": 100 * fraction_true(row[5] != row[1] for row in answered),
        "refused": sum(row[2] not in ("answered", "broken") for row in done),
        "broken": sum(row[2] == "broken" for row in done) + len(results) - len(done),
        "goodput": len(answered) / (load.duration_ms / MS_PER_S),
    }
    for prefix, class_ in (("i", INTERACTIVE), ("d", DEFERRED)):
        rows = [row for row in answered if row[0].class_ == class_]
        for name, column in (("first", 3), ("whole", 4)):
            values = sorted(row[column] for row in rows)
            for percent in (50, 95, 99):
                measures[f"{prefix}_{name}{percent}"] = percentile(values, percent)
    return measures


def fraction_true(flags):
    """Return the fraction of true values, 0 if there are none."""
    flags = list(flags)
    return sum(flags) / len(flags) if flags else 0.0


def percentile(values, percent):
    """Return a percentile of sorted values, 0 if there are none."""
    return values[min(len(values) * percent // 100, len(values) - 1)] if values else 0


def run_job(job):
    """Run one job of the process pool; return it with its result."""
    return job, run_scenario(*job)


def print_medians(results, scenario, variants, seeds):
    """Print medians, and the spread (maximum minus minimum) in percent of them."""
    print(f"\n{scenario[0]} / {scenario[1]} (median, spread in % of it)")
    print(f"{'variant':22}" + "".join(f"{name:>14}" for name in PRINTED_MEASURES))
    for variant in variants:
        cells = []
        for name in PRINTED_MEASURES:
            values = [results[(*scenario, variant, seed)][name] for seed in seeds]
            middle = statistics.median(values)
            spread = 100 * (max(values) - min(values)) / middle if middle else 0
            cells.append(f"{middle:>9.0f} {spread:>3.0f}%" if middle else f"{0:>14}")
        print(f"{variant:22}" + "".join(cells))


def print_comparison(results, scenario, variants, seeds):
    """Print by how many percent each median exceeds that of the best baseline."""
    best_baselines = {}
    for name in COMPARED_MEASURES:
        medians = {v: median(results, scenario, v, seeds, name) for v in variants}
        baseline_medians = [medians[v] for v in BASELINES if v in medians]
        best_baselines[name] = (
            min(baseline_medians) if baseline_medians else 0,
            medians,
        )
    print(f"\n{' / '.join(scenario)}: percent above the best baseline")
    print(f"{'variant':22}" + "".join(f"{name:>11}" for name in COMPARED_MEASURES))
    for variant in variants:
        row = [(low, medians[variant]) for low, medians in best_baselines.values()]
        cells = [
            f"{100 * (v / low - 1):>+11.1f}" if low else f"{v:>11.0f}" for low, v in row
        ]
        print(f"{variant:22}" + "".join(cells))


def median(results, scenario, variant, seeds, name):
    """Return the median of a measure over the seeds."""
    return statistics.median(results[(*scenario, variant, s)][name] for s in seeds)


def main():
    """Run all variants in all scenarios and print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployments", nargs="*", default=list(DEPLOYMENTS))
    parser.add_argument("--scenarios", nargs="*", default=list(SCENARIOS))
    parser.add_argument("--variants", nargs="*")
    parser.add_argument("--seeds", nargs="*", type=int, default=SEEDS)
    parser.add_argument("--processes", type=int, default=PROCESSES)
    parser.add_argument("--json", help="file for all results")
    args = parser.parse_args()
    parts = [f"adaptive-{part}" for part in POLICY_PARTS]
    variants = args.variants or ["adaptive", *BASELINES, *parts]
    scenarios = [
        (deployment, s) for deployment in args.deployments for s in args.scenarios
    ]
    jobs = [(*s, v, seed) for s in scenarios for v in variants for seed in args.seeds]
    started = time.monotonic()
    with multiprocessing.Pool(args.processes) as pool:
        results = dict(pool.imap_unordered(run_job, jobs))
    for scenario in scenarios:
        print_medians(results, scenario, variants, args.seeds)
    for scenario in scenarios:
        print_comparison(results, scenario, variants, args.seeds)
    print(f"\n{len(jobs)} runs in {time.monotonic() - started:.0f} s")
    if args.json:
        rows = [{"run": job, **result} for job, result in results.items()]
        Path(args.json).write_text(json.dumps(rows))


if __name__ == "__main__":
    main()
