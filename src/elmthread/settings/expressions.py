"""Expressions in the operators' settings: a small language over a job's fields, checked at startup.

simpleeval evaluates them. The checks here walk the same syntax tree beforehand, so that an unknown name, a
type error or a costly construct is an error at startup and never while the controller runs.
"""

import ast
from collections.abc import Mapping
from typing import Any

from simpleeval import EvalWithCompoundTypes

from elmthread.common.errors import ElmthreadError

MAX_LENGTH = 400
MAX_NODES = 80

FUNCTIONS: dict[str, Any] = {"min": min, "max": max, "abs": abs}

_ORDERING_OPERATORS = (ast.Lt, ast.LtE, ast.Gt, ast.GtE)
_EQUALITY_OPERATORS = (ast.Eq, ast.NotEq)


class ExpressionError(ElmthreadError):
    """An expression is not part of the language or has the wrong type; the message is one line."""


class Expression:
    """A checked expression of type "number", "text" or "truth"."""

    def __init__(self, source: str, names: Mapping[str, str], expected_type: str) -> None:
        """Check the source, which may use `names` (name to type) and has `expected_type`. Raises ExpressionError."""
        self.source = source
        if len(source) > MAX_LENGTH:
            raise ExpressionError(f"longer than {MAX_LENGTH} characters")
        try:
            tree = ast.parse(source.strip(), mode="eval")
        except (SyntaxError, ValueError, RecursionError, MemoryError) as error:
            raise ExpressionError(f"not an expression: {getattr(error, 'msg', error)}") from error
        if sum(1 for _ in ast.walk(tree)) > MAX_NODES:
            raise ExpressionError(f"more than {MAX_NODES} parts")
        actual_type = _type_of(tree.body, names)
        if actual_type != expected_type:
            raise ExpressionError(f"gives a {actual_type}, wanted a {expected_type}")
        self._eval = EvalWithCompoundTypes(functions=FUNCTIONS)
        self._tree = tree.body
        self.names = frozenset(node.id for node in ast.walk(tree) if isinstance(node, ast.Name)) - FUNCTIONS.keys()

    def __call__(self, values: Mapping[str, Any]) -> Any:
        """Evaluate with these values of the names. Raises ZeroDivisionError and OverflowError."""
        self._eval.names = dict(values)
        return self._eval.eval(self.source, previously_parsed=self._tree)


def _type_of(node: ast.AST, names: Mapping[str, str]) -> str:
    match node:
        case ast.Constant(value=bool() | int() | float() | str() as value):
            return _constant_type(value)
        case ast.Name(id=name):
            if name not in names:
                raise ExpressionError(f"unknown name {name!r}; known: {', '.join(sorted(names))}")
            return names[name]
        case ast.UnaryOp(op=ast.Not() | ast.USub() as operator, operand=operand):
            return _require_all([operand], "truth" if isinstance(operator, ast.Not) else "number", names)
        case ast.BoolOp(values=operands):
            return _require_all(operands, "truth", names)
        case ast.BinOp(left=left, op=ast.Add() | ast.Sub() | ast.Mult() | ast.Div(), right=right):
            return _require_all([left, right], "number", names)
        case ast.IfExp(test=test, body=body, orelse=orelse):
            _require(test, "truth", names)
            return _require_all([orelse], _type_of(body, names), names)
        case ast.Compare(left=left, ops=operators, comparators=rest):
            return _compare(left, operators, rest, names)
        case ast.Call(func=ast.Name(id=name), args=args, keywords=[]) if name in FUNCTIONS:
            return _call(name, args, names)
    raise ExpressionError(f"not part of the language: {ast.unparse(node)[:40]}")


def _constant_type(value: bool | int | float | str) -> str:
    if isinstance(value, bool):
        return "truth"
    return "text" if isinstance(value, str) else "number"


def _call(name: str, args: list[ast.expr], names: Mapping[str, str]) -> str:
    if not args or (name == "abs" and len(args) != 1) or (name != "abs" and len(args) < 2):
        raise ExpressionError(f"{name}() has the wrong number of arguments")
    return _require_all(args, "number", names)


def _compare(left: ast.expr, operators: list[ast.cmpop], rest: list[ast.expr], names: Mapping[str, str]) -> str:
    kind = _type_of(left, names)
    for op, right in zip(operators, rest, strict=True):
        if isinstance(op, _ORDERING_OPERATORS):
            _require(left, "number", names)
            _require(right, "number", names)
        elif isinstance(op, _EQUALITY_OPERATORS):
            _require(right, kind, names)
        elif isinstance(op, ast.In | ast.NotIn) and isinstance(right, ast.Tuple | ast.List):
            for item in right.elts:
                _require(item, kind, names)
        else:
            raise ExpressionError("a comparison is one of < <= > >= == != in, not in (a list)")
    return "truth"


def _require_all(nodes: list[ast.expr], expected_type: str, names: Mapping[str, str]) -> str:
    """Return `expected_type`, the type of all nodes. Raises ExpressionError if a node has another type."""
    for node in nodes:
        _require(node, expected_type, names)
    return expected_type


def _require(node: ast.AST, expected_type: str, names: Mapping[str, str]) -> None:
    actual_type = _type_of(node, names)
    if actual_type != expected_type:
        raise ExpressionError(f"{ast.unparse(node)[:40]}: is a {actual_type}, wanted a {expected_type}")
