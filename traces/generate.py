#!/usr/bin/env python3
"""Writes the traces of both deployments; the same seed gives the same bytes.

Usage: traces/generate.py   (writes traces/cooperativa.jsonl and traces/ramcharan.jsonl)

Arrivals are a Poisson process whose rate is raised during bursts. Each line is one request; its
marker is unique in the trace, and the answer must carry it.
"""

import json
import pathlib
import random
from dataclasses import dataclass, field

SEED = 20261204
DURATION_MS = 60_000


@dataclass(frozen=True)
class Kind:
    """One kind of request and its share of the arrivals."""

    service: str
    weight: float
    deadlines_ms: tuple
    repeatable: bool = True
    stream_share: float = 0.0
    prompt: str = ""  # template for model work; plain services get `fields`
    fields: tuple = ()


@dataclass(frozen=True)
class Burst:
    """An interval in which one service's rate is multiplied."""

    from_ms: int
    to_ms: int
    service: str
    factor: float


@dataclass(frozen=True)
class Deployment:
    name: str
    prefix: str
    rate_per_s: float
    workspaces: dict  # name -> weight
    kinds: tuple
    bursts: tuple
    words: dict = field(default_factory=dict)


COOPERATIVA = Deployment(
    name="cooperativa",
    prefix="c",
    rate_per_s=14.0,
    workspaces={
        "artesanos-centro": 9,
        "talleres-puebla": 8,
        "istmo-tejidos": 3,
        "boutiques-costa": 2,
        "escuela-curtido": 1,
    },
    kinds=(
        Kind("drafts", 20, (11_000, 11_000, 6_000), stream_share=0.5,
             prompt="Order sheet of {workspace}. House rules: prices in pesos, lead time in weeks, "
                    "one line for each part, leather before thread. Satchel {item}, {count} pieces, "
                    "{colour} hide, {stitch} seam."),
        Kind("summaries", 8, (11_000,),
             prompt="Specification kept by {workspace}. Summarise in five lines. {item}: hide of "
                    "{thickness} tenths of a millimetre, {colour}, {stitch} seam, {count} holes a side."),
        Kind("questions", 22, (6_000, 6_000, 3_000), stream_share=0.3,
             prompt="Counter of {workspace}. Answer in two sentences. Does {colour} dye hold on "
                    "{item} after {count} washes?"),
        Kind("orders", 13, (5_000, 3_000), repeatable=False, fields=("item", "count", "colour")),
        Kind("stock", 15, (2_000, 1_000), fields=("item", "colour")),
        Kind("registry", 8, (2_000,), fields=("count",)),
        Kind("payments", 6, (5_000,), repeatable=False, fields=("count",)),
        Kind("shipping", 4, (5_000,), repeatable=False, fields=("item", "count")),
        Kind("tracking", 4, (2_000,), fields=("count",)),
    ),
    bursts=(
        Burst(8_000, 12_000, "drafts", 5.0),
        Burst(22_000, 25_000, "orders", 8.0),
        Burst(35_000, 40_000, "questions", 5.0),
        Burst(48_000, 50_000, "stock", 10.0),
    ),
    words={
        "item": ("field bag", "school bag", "market bag", "saddle bag", "book strap"),
        "colour": ("cochineal", "indigo", "walnut", "natural", "black"),
        "stitch": ("saddle", "box", "lace", "double"),
    },
)

RAMCHARAN = Deployment(
    name="ramcharan",
    prefix="r",
    rate_per_s=12.0,
    workspaces={
        "showroom-sando": 9,
        "web-buyers": 8,
        "sites-couva": 3,
        "workroom-central": 2,
        "trade-partners": 1,
    },
    kinds=(
        Kind("quotes", 14, (11_000, 11_000, 7_000),
             prompt="Floor plan held by {workspace}. Quote in dollars, fabric and rail apart, waste "
                    "at eight in the hundred. Shop of {count} cubicles, {width} cm wide, {fabric}, "
                    "{track} rail."),
        Kind("advice", 10, (11_000,),
             prompt="Advice for {workspace}. Name one fabric and one rail. Opening of {width} cm, "
                    "used {count} times a day, {fabric} preferred."),
        Kind("chat", 26, (8_000, 8_000, 4_000), stream_share=0.8,
             prompt="Chat of {workspace}. Short and friendly. Buyer: do you have {fabric} for "
                    "{count} cubicles, and does it fit a {track} rail?"),
        Kind("orders", 14, (5_000, 3_000), repeatable=False, fields=("fabric", "track", "count")),
        Kind("stock", 14, (2_000, 1_000), fields=("fabric",)),
        Kind("cutting", 7, (5_000,), repeatable=False, fields=("fabric", "width", "count")),
        Kind("dispatch", 5, (5_000,), repeatable=False, fields=("count",)),
        Kind("schedule", 6, (2_000,), fields=("count",)),
        Kind("invoices", 4, (5_000,), repeatable=False, fields=("count",)),
    ),
    bursts=(
        Burst(6_000, 9_000, "chat", 6.0),
        Burst(20_000, 24_000, "orders", 8.0),
        Burst(33_000, 36_000, "quotes", 5.0),
        Burst(45_000, 49_000, "schedule", 8.0),
    ),
    words={
        "fabric": ("velvet", "linen", "blackout", "twill", "sheer"),
        "track": ("curved", "straight", "ceiling", "tension"),
    },
)


def rate_of(kind, now_ms, deployment, total):
    """Requests per second of one kind at one time."""
    rate = deployment.rate_per_s * kind.weight / total
    for burst in deployment.bursts:
        if burst.service == kind.service and burst.from_ms <= now_ms < burst.to_ms:
            rate *= burst.factor
    return rate


def arrivals_of(kind, deployment, rng):
    """Arrival times by thinning at the highest rate that the bursts reach."""
    total = sum(other.weight for other in deployment.kinds)
    peak = max(rate_of(kind, now, deployment, total) for now in range(0, DURATION_MS, 500))
    now = 0.0
    while True:
        now += rng.expovariate(peak) * 1000
        if now >= DURATION_MS:
            return
        if rng.random() < rate_of(kind, now, deployment, total) / peak:
            yield int(now)


def details_of(deployment, rng):
    details = {name: rng.choice(words) for name, words in deployment.words.items()}
    details["count"] = rng.randint(1, 48)
    details["width"] = rng.randrange(90, 400, 5)
    details["thickness"] = rng.randint(12, 40)
    return details


def request_of(arrival_ms, kind, deployment, rng):
    names = list(deployment.workspaces)
    workspace = rng.choices(names, weights=list(deployment.workspaces.values()))[0]
    details = details_of(deployment, rng)
    body = {name: details[name] for name in kind.fields}
    if kind.prompt:
        body = {"prompt": kind.prompt.format(workspace=workspace, **details)}
    return {
        "arrival_ms": arrival_ms,
        "workspace": workspace,
        "service": kind.service,
        "body": body,
        "deadline_ms": rng.choice(kind.deadlines_ms),
        "repeatable": kind.repeatable,
        "stream": rng.random() < kind.stream_share,
        "expected": {"outcome": "answer"},
    }


def refused_requests(deployment, rng):
    """A few requests that must be refused, each by its own kind."""
    first, second = list(deployment.workspaces)[:2]
    base = {"deadline_ms": 2_000, "repeatable": True, "stream": False}
    for _ in range(2):
        yield {"arrival_ms": rng.randrange(DURATION_MS), "workspace": first, "service": "no-such-service",
               **base, "body": {"count": 1}, "expected": {"outcome": "unknown_service"}}
        yield {"arrival_ms": rng.randrange(DURATION_MS), "workspace": "no-such-workspace",
               "service": "stock", **base, "body": {"count": 1}, "expected": {"outcome": "unknown_workspace"}}
        yield {"arrival_ms": rng.randrange(DURATION_MS), "workspace": second, "service": "stock",
               **base, "body": {}, "raw_body": "{\"count\": ", "expected": {"outcome": "bad_request"}}


def trace_of(deployment):
    rng = random.Random(SEED)
    requests = list(refused_requests(deployment, rng))
    for kind in deployment.kinds:
        requests += [request_of(at, kind, deployment, rng)
                     for at in arrivals_of(kind, deployment, rng)]
    requests.sort(key=lambda request: request["arrival_ms"])
    for number, request in enumerate(requests):
        marker = f"{deployment.prefix}-{number:05d}"
        request["body"]["marker"] = marker
        if request["expected"]["outcome"] == "answer":
            request["expected"]["marker"] = marker
    return requests


def main():
    folder = pathlib.Path(__file__).parent
    for deployment in (COOPERATIVA, RAMCHARAN):
        lines = [json.dumps(request) + "\n" for request in trace_of(deployment)]
        (folder / f"{deployment.name}.jsonl").write_text("".join(lines), encoding="utf-8")


if __name__ == "__main__":
    main()
