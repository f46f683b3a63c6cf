"""Learn which tasks slow each other down, keep them apart and throttle them."""
