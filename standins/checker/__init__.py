"""Check runs by the observations of the parties around the gateways. Pure; imports no product code."""

from standins.checker.event_checker import Checker, find_violations
from standins.checker.violations import RULES, Rule, Violation

__all__ = ["RULES", "Checker", "Rule", "Violation", "find_violations"]
