"""Forecast the demand of pools from the regularity of past arrivals."""
