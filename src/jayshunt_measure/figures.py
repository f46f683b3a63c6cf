"""Compute statistics of samples."""


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile, rounded to one decimal, or 0 if there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(fraction * len(ordered)))], 1)


def slope(xs: list[float], values: list[float]) -> float:
    """Return the slope of the least-squares line through the points."""
    mean_x, mean_value = sum(xs) / len(xs), sum(values) / len(values)
    spread = sum((x - mean_x) ** 2 for x in xs)
    products = (
        (p - mean_x) * (v - mean_value) for p, v in zip(xs, values, strict=True)
    )
    return sum(products) / spread
