"""Second attempts of calls that may be repeated, within a set share."""
