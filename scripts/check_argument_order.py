#!/usr/bin/python3
"""Reports argument lists and operators whose result depends on the order of evaluation.

Usage: check_argument_order.py BUILD SOURCE

C++ leaves the order open in which the arguments of a call and the operands of most operators are
evaluated: GCC goes from left to right on arm64 and from right to left on x86-64. Two of them that draw
random numbers, count, or change one object make a program, or the meaning of a seed, depend on the
architecture. Give each a statement of its own, or a braced list, whose order is fixed.

Reads the compile command of SOURCE in BUILD; reports what stands in files of the project, its headers
included. Calls in templates that depend on a parameter are not seen.
"""

import json
import os
import shlex
import sys

from clang.cindex import Config, CursorKind, Index

LLVM = "/usr/lib/llvm-14"
PROJECT = os.path.realpath(os.path.join(os.path.dirname(__file__), "..")) + "/"

# Operators whose operands C++17 evaluates in a fixed order, or with one operand that is a target.
ORDERED_OPERATORS = {"&&", "||", ",", "=", "<<", ">>"}
ORDERED_CALLS = {"operator" + each for each in ORDERED_OPERATORS} | {"operator[]", "operator->"}

# Members that give access without changing what the next call returns.
ACCESSORS = {
    "at", "back", "begin", "data", "end", "find", "front", "get", "rbegin", "rend", "value",
    "operator*", "operator->", "operator[]", "operator bool",
}
CLASSES = (CursorKind.CLASS_DECL, CursorKind.STRUCT_DECL, CursorKind.CLASS_TEMPLATE)


def source_text(cursor):
    """The text of a cursor, "" where it has none."""
    start, end = cursor.extent.start, cursor.extent.end
    if start.file is None:
        return ""
    with open(start.file.name, "rb") as file:
        return file.read()[start.offset : end.offset].decode(errors="replace")


def is_in_project(cursor):
    file = cursor.location.file
    return file is not None and os.path.realpath(file.name).startswith(PROJECT)


def object_of(call):
    """The text of the object that a member is called on; "this" when it is implicit."""
    for child in call.get_children():
        if child.kind == CursorKind.MEMBER_REF_EXPR:
            for base in child.get_children():
                return source_text(base)
            return "this"
        return source_text(child)
    return "this"


def body_effects(callee, depth):
    """What the body of a lambda does."""
    effects = set()
    if depth > 4:
        return effects
    for child in callee.get_children():
        effects |= effects_below(child, depth + 1)
    return effects


def call_effects(call, depth):
    """What one call changes, as a set of names; two arguments with a common name are in conflict."""
    callee = call.referenced
    if callee is None:
        return set()
    owner = callee.semantic_parent
    if owner is None or owner.kind not in CLASSES:
        return set()
    if owner.spelling == "Gen" and callee.spelling == "operator*":
        return {"draw"}
    if callee.spelling == "operator()" and (owner.spelling == "" or "lambda" in owner.type.spelling):
        return body_effects(callee.get_definition() or callee, depth)
    if callee.is_static_method() or callee.is_const_method() or callee.spelling in ACCESSORS:
        return set()
    if callee.kind not in (CursorKind.CXX_METHOD, CursorKind.FUNCTION_TEMPLATE):
        return set()
    if owner.spelling in ("random_source", "seeded_random", "mersenne_twister_engine"):
        return {"draw"}
    return {"object " + object_of(call)}


def effects_below(cursor, depth=0):
    """What an expression changes, without the bodies of lambdas that it only names."""
    if cursor.kind == CursorKind.LAMBDA_EXPR:
        return set()
    effects = set()
    if cursor.kind == CursorKind.CALL_EXPR:
        effects |= call_effects(cursor, depth)
    if cursor.kind == CursorKind.UNARY_OPERATOR:
        tokens = [each.spelling for each in cursor.get_tokens()]
        if tokens and (tokens[0] in ("++", "--") or tokens[-1] in ("++", "--")):
            effects.add("object " + "".join(each for each in tokens if each not in ("++", "--")))
    for child in cursor.get_children():
        effects |= effects_below(child, depth)
    return effects


def is_braced(call, first):
    """Whether the arguments of a constructor stand in braces."""
    before = source_text(call)[: first.extent.start.offset - call.extent.start.offset]
    return before.rstrip().endswith("{")


def operands_of(cursor):
    """The expressions that are evaluated in an order that C++ leaves open."""
    if cursor.kind == CursorKind.CALL_EXPR:
        arguments = list(cursor.get_arguments())
        name = cursor.referenced.spelling if cursor.referenced is not None else ""
        if len(arguments) < 2 or name in ORDERED_CALLS or is_braced(cursor, arguments[0]):
            return []
        return arguments
    if cursor.kind == CursorKind.BINARY_OPERATOR:
        operands = list(cursor.get_children())
        if len(operands) != 2 or operands[0].extent == operands[1].extent:
            return []
        start = operands[0].extent.end.offset - cursor.extent.start.offset
        end = operands[1].extent.start.offset - cursor.extent.start.offset
        operator = source_text(cursor)[start:end].strip()
        # A macro's operands have no text between them.
        return [] if operator in ORDERED_OPERATORS or not operator else operands
    return []


def find_conflicts(cursor, found):
    for child in cursor.get_children():
        outside = cursor.kind in (CursorKind.TRANSLATION_UNIT, CursorKind.NAMESPACE)
        if outside and not is_in_project(child):
            continue
        seen = set()
        for operand in operands_of(child):
            effects = effects_below(operand)
            for common in effects & seen:
                where = child.extent.start
                name = os.path.relpath(os.path.realpath(where.file.name), PROJECT)
                found.add((name, where.line, common))
            seen |= effects
        find_conflicts(child, found)


def compile_options(build, source):
    """The options of the compile command of a source; the project's headers for one that has none."""
    with open(os.path.join(build, "compile_commands.json")) as file:
        commands = json.load(file)
    for each in commands:
        if os.path.realpath(each["file"]) != os.path.realpath(source):
            continue
        words = shlex.split(each["command"])
        while not words[0].endswith("++"):
            words = words[1:]
        return words[1 : words.index("-o")]
    packages = sorted(os.listdir(PROJECT + "packages"))
    return ["-std=c++20", f"-I{PROJECT}"] + [f"-I{PROJECT}packages/{each}/include" for each in packages]


def clang_options():
    """What Clang needs beside the options of GCC."""
    builtin = os.path.join(LLVM, "lib/clang", os.listdir(LLVM + "/lib/clang")[0])
    coroutines = ["-fcoroutines-ts", "-DBOOST_ASIO_HAS_CO_AWAIT=1", "-DBOOST_ASIO_HAS_STD_COROUTINE=1"]
    return coroutines + ["-w", "-resource-dir", builtin]


def main():
    build, source = sys.argv[1:]
    Config.set_library_path(LLVM + "/lib")
    sys.setrecursionlimit(100_000)
    options = compile_options(build, source) + clang_options()
    unit = Index.create().parse(source, args=options)
    errors = [each for each in unit.diagnostics if each.severity >= 3]
    if errors:
        raise SystemExit(f"{source}: can't be parsed: {errors[0]}")
    found = set()
    find_conflicts(unit.cursor, found)
    for name, line, common in sorted(found):
        print(f"{name}:{line}: the result depends on the order of evaluation: {common} more than once")
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
