"""Encode and decode what a term hands on about interference."""

import json
import math
from dataclasses import dataclass, field

from jayshunt.interference.models import Estimate, ImageName, Pair

FORMAT_VERSION = 1
# The store's limit for a value that this record may take.
MAX_BYTES = 64_000
MAX_NAME_CHARS = 512
# A stored figure outside these limits was not written by this program.
MAX_RATIO = 100.0
MAX_EVIDENCE = 1e6


@dataclass(frozen=True)
class InterferenceSummary:
    """Store the estimates of pairs and of serving images.

    `saved_at_s` is in seconds since the Unix epoch; the estimates are as of then, and
    their `updated_s` has no meaning.
    """

    saved_at_s: float
    pairs: dict[Pair, Estimate] = field(default_factory=dict)
    bases: dict[ImageName, Estimate] = field(default_factory=dict)


def encode_summary(summary: InterferenceSummary) -> bytes:
    """Encode a summary; pairs with the least evidence are left out beyond the limit."""
    rows = [
        ("bases", [image, *_figures(estimate)], estimate.evidence)
        for image, estimate in summary.bases.items()
    ] + [
        ("pairs", [*pair, *_figures(estimate)], estimate.evidence)
        for pair, estimate in summary.pairs.items()
    ]
    rows.sort(key=lambda row: -row[2])
    parts: dict[str, list[str]] = {"bases": [], "pairs": []}
    left = MAX_BYTES - 200
    for name, row, _ in rows:
        text = json.dumps(row, separators=(",", ":"))
        left -= len(text) + 1
        if left < 0:
            break
        parts[name].append(text)
    return (
        f'{{"version":{FORMAT_VERSION},"saved_at_s":{summary.saved_at_s:.3f},'
        f'"bases":[{",".join(parts["bases"])}],"pairs":[{",".join(parts["pairs"])}]}}'
    ).encode()


def decode_summary(value: bytes) -> InterferenceSummary:
    """Decode a summary; raise one of `DECODE_ERRORS` if any part is malformed."""
    if len(value) > MAX_BYTES:
        raise ValueError(f"{len(value)} bytes are more than {MAX_BYTES}")
    fields = json.loads(value)
    if fields["version"] != FORMAT_VERSION:
        raise ValueError(f"unknown version {fields['version']!r}")
    bases = {_image(row[0]): _estimate(row[1:]) for row in fields["bases"]}
    pairs = {_pair(row[:3]): _estimate(row[3:]) for row in fields["pairs"]}
    return InterferenceSummary(_number(fields["saved_at_s"], 1e12), pairs, bases)


def _figures(estimate: Estimate) -> list[float]:
    return [
        round(estimate.mean, 3),
        round(estimate.variance, 5),
        round(estimate.evidence, 2),
    ]


def _pair(row: list) -> Pair:
    aggressor, is_filling, victim = row
    if not isinstance(is_filling, bool):
        raise ValueError(f"true or false is needed, not {is_filling!r}")
    return Pair(_image(aggressor), is_filling, _image(victim))


def _image(value: object) -> ImageName:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_CHARS:
        raise ValueError(f"not an image name: {value!r:.60}")
    return ImageName(value)


def _estimate(row: list) -> Estimate:
    mean, variance, evidence = row
    variance = _number(variance, MAX_RATIO)
    evidence = _number(evidence, MAX_EVIDENCE)
    if variance < 0 or evidence < 0:
        raise ValueError("a variance or evidence is negative")
    return Estimate(_number(mean, MAX_RATIO), variance, evidence, 0.0)


def _number(value: object, limit: float) -> float:
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value) or abs(value) > limit:
        raise ValueError(f"not a number up to {limit}: {value!r:.60}")
    return float(value)
