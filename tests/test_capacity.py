"""The table of the capacity page agrees with the stored measurements."""

import copy

from bench import slopes
from scripts.capacity import make_page, read_page


def test_page_agrees_with_the_slopes():
    page = read_page()
    assert make_page(page, slopes.load()) == page


def test_other_slopes_make_another_page():
    measurements = copy.deepcopy(slopes.load())
    measurements["control"]["bridge"]["call_us"] += 100
    assert make_page(read_page(), measurements) != read_page()
