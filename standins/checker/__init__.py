"""Check runs from outside, by what their parties observed. Pure; knows no product code."""

from standins.checker.event_checker import Checker, find_violations
from standins.checker.violations import RULES, Rule, Violation

__all__ = ["RULES", "Checker", "Rule", "Violation", "find_violations"]
