"""Operators' expressions: a small language over a job's fields, checked before start.

simpleeval runs them; the checker here walks the same syntax tree first, so that a wrong
name, a wrong type or a costly construct is told at start and never in the middle of work.
"""

import ast
from collections.abc import Mapping
from typing import Any

from simpleeval import EvalWithCompoundTypes

from elmthread.common.errors import ElmthreadError

MAX_LENGTH = 400
MAX_NODES = 80

FUNCTIONS: dict[str, Any] = {"min": min, "max": max, "abs": abs}

_OPERATORS: dict[type[ast.AST], str] = {
    ast.Add: "number",
    ast.Sub: "number",
    ast.Mult: "number",
    ast.Div: "number",
}
_ORDERS = (ast.Lt, ast.LtE, ast.Gt, ast.GtE)
_EQUALS = (ast.Eq, ast.NotEq)


class ExpressionError(ElmthreadError):
    """What is wrong with an expression, in one line."""


class Expression:
    """A checked expression of a known type: "number", "text" or "truth"."""

    def __init__(self, source: str, names: Mapping[str, str], wanted: str) -> None:
        """Checks the source against the names and the kind of value that is wanted. Raises ExpressionError."""
        self.source = source
        if len(source) > MAX_LENGTH:
            raise ExpressionError(f"longer than {MAX_LENGTH} characters")
        try:
            tree = ast.parse(source.strip(), mode="eval")
        except (SyntaxError, ValueError, RecursionError, MemoryError) as error:
            raise ExpressionError(f"not an expression: {getattr(error, 'msg', error)}") from error
        if sum(1 for _ in ast.walk(tree)) > MAX_NODES:
            raise ExpressionError(f"more than {MAX_NODES} parts")
        found = _type_of(tree.body, names)
        if found != wanted:
            raise ExpressionError(f"gives a {found}, wanted a {wanted}")
        self._eval = EvalWithCompoundTypes(functions=FUNCTIONS)
        self._tree = tree.body
        self.names = frozenset(node.id for node in ast.walk(tree) if isinstance(node, ast.Name)) - FUNCTIONS.keys()

    def __call__(self, values: Mapping[str, Any]) -> Any:
        """The expression's value for these names. Raises ZeroDivisionError and OverflowError."""
        self._eval.names = dict(values)
        return self._eval.eval(self.source, previously_parsed=self._tree)


def _type_of(node: ast.AST, names: Mapping[str, str]) -> str:
    match node:
        case ast.Constant(value=bool()):
            return "truth"
        case ast.Constant(value=int() | float()):
            return "number"
        case ast.Constant(value=str()):
            return "text"
        case ast.Name(id=name):
            if name not in names:
                raise ExpressionError(f"unknown name {name!r}; known: {', '.join(sorted(names))}")
            return names[name]
        case ast.UnaryOp(op=ast.Not(), operand=inner):
            _want(inner, "truth", names)
            return "truth"
        case ast.UnaryOp(op=ast.USub(), operand=inner):
            _want(inner, "number", names)
            return "number"
        case ast.BoolOp(values=parts):
            for part in parts:
                _want(part, "truth", names)
            return "truth"
        case ast.BinOp(left=left, op=op, right=right) if type(op) in _OPERATORS:
            _want(left, "number", names)
            _want(right, "number", names)
            return "number"
        case ast.IfExp(test=test, body=body, orelse=orelse):
            _want(test, "truth", names)
            kind = _type_of(body, names)
            _want(orelse, kind, names)
            return kind
        case ast.Compare(left=left, ops=ops, comparators=rest):
            return _compare(left, ops, rest, names)
        case ast.Call(func=ast.Name(id=name), args=args, keywords=[]) if name in FUNCTIONS:
            if not args or (name == "abs" and len(args) != 1) or (name != "abs" and len(args) < 2):
                raise ExpressionError(f"{name}() has the wrong number of arguments")
            for arg in args:
                _want(arg, "number", names)
            return "number"
    raise ExpressionError(f"not part of the language: {ast.unparse(node)[:40]}")


def _compare(left: ast.expr, ops: list[ast.cmpop], rest: list[ast.expr], names: Mapping[str, str]) -> str:
    kind = _type_of(left, names)
    for op, right in zip(ops, rest, strict=True):
        if isinstance(op, _ORDERS):
            _want(left, "number", names)
            _want(right, "number", names)
        elif isinstance(op, _EQUALS):
            _want(right, kind, names)
        elif isinstance(op, ast.In | ast.NotIn) and isinstance(right, ast.Tuple | ast.List):
            for item in right.elts:
                _want(item, kind, names)
        else:
            raise ExpressionError("a comparison is one of < <= > >= == != in, not in (a list)")
    return "truth"


def _want(node: ast.AST, wanted: str, names: Mapping[str, str]) -> None:
    found = _type_of(node, names)
    if found != wanted:
        raise ExpressionError(f"{ast.unparse(node)[:40]}: is a {found}, wanted a {wanted}")
