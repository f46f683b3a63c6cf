"""Compute statistics of samples."""


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile, rounded to one decimal, or 0 if there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(fraction * len(ordered)))], 1)


def slope(places: list[float], values: list[float]) -> float:
    """Return the slope of the least-squares line through the points."""
    mean_place, mean_value = sum(places) / len(places), sum(values) / len(values)
    spread = sum((place - mean_place) ** 2 for place in places)
    products = (
        (p - mean_place) * (v - mean_value) for p, v in zip(places, values, strict=True)
    )
    return sum(products) / spread
