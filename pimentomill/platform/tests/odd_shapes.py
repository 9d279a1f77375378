"""Odd values of records, as another writer could leave them."""

import json
import math

import msgspec

__all__ = [
    "BROKEN_VALUES",
    "DEPTHS",
    "LOCALLY_ODD_ADDRESSES",
    "ODD_ADDRESSES",
    "ODD_KEYS",
    "deeply_nested_records",
    "odd_json_records",
    "odd_msgpack_records",
]

DEPTHS = (1_000, 200_000)
MARK = "@odd@"
ODD_NUMBERS = (
    "-1",
    "-1e999",
    "1e999",
    "1e308",
    "NaN",
    "Infinity",
    "1.5",
    str(2**53),
    str(2**63 - 1),
    str(2**64 - 1),
    str(2**64),
    str(2**70),
    "-" + str(2**70),
    "9" * 400,
    "9" * 4_300,
    "9" * 4_301,
    "9" * 20_000,
)
"""JSON texts. Python converts whole numbers of up to 4,300 digits."""
ODD_VALUES = (
    "null",
    "true",
    '"text"',
    '""',
    "[]",
    "{}",
    "[[]]",
    '{"a":1}',
    r'"\ud800"',
    r'"a\nb\u0000"',
    json.dumps("x" * 70_000),
)
BROKEN_VALUES = (b"\x00", b"\xff\xfe", b"{", b"[", b"x", b'"', b"\xc1", b"{}", b"[]")
ODD_KEYS = ("", "a\nb", "\ufffd", "\u2603" * 80, "x" * 255, "a b", "a\x00b", "é:/#?%")
LOCALLY_ODD_ADDRESSES = (
    "",
    ":",
    "127.0.0.1:-1",
    "127.0.0.1:65536",
    "127.0.0.1:99999",
    "127.0.0.1:" + "9" * 20_000,
    "127.0.0.1:1e3",
    "127.0.0.1:x",
    "[::1",
    "[::1]:99999",
    "[zz]:1",
    "a..b:1",
    "a" * 64 + ".b:1",
    "." * 300 + ":1",
    "\u2100:1",
)
"""Addresses that no connection can be tried to."""
ODD_ADDRESSES = (
    *LOCALLY_ODD_ADDRESSES,
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:\u0661",
    "a\nb:1",
    "a b:1",
    "\x00:1",
    "user@:1",
    "http://127.0.0.1:1",
    "127.0.0.1:1/?#",
)


def odd_json_records(base: dict) -> dict[str, bytes]:
    """Return JSON values that differ from `base` in one field, by description."""
    shapes = {f"broken {value!r}": value for value in BROKEN_VALUES}
    text = json.dumps(base)
    for size in (1, len(text) // 2, len(text) - 1):
        shapes[f"truncated to {size}"] = text[:size].encode()
    for depth in DEPTHS:
        nested = {
            f"{depth} lists": "[" * depth + "]" * depth,
            f"{depth} objects": '{"a":' * depth + "1" + "}" * depth,
            f"{depth} open lists": "[" * depth,
        }
        for name, value in nested.items():
            shapes[name] = value.encode()
            shapes[f"{name} in an unknown field"] = _replace(base, ("Odd",), value)
            for path in _paths(base):
                shapes[f"{name} in {path}"] = _replace(base, path, value)
    for path in _paths(base):
        shapes[f"without {path}"] = _remove(base, path)
        for value in (*ODD_NUMBERS, *ODD_VALUES):
            shapes[f"{path} = {value[:20]} ({len(value)})"] = _replace(
                base, path, value
            )
    return shapes


def odd_msgpack_records(base: dict | list) -> dict[str, bytes]:
    """Return msgpack values that differ from `base` in one field, by description."""
    shapes = {f"broken {value!r}": value for value in BROKEN_VALUES}
    whole = msgspec.msgpack.encode(base)
    for size in (1, len(whole) // 2, len(whole) - 1):
        shapes[f"truncated to {size}"] = whole[:size]
    values = {
        "nil": None,
        "true": True,
        "text": "text",
        "no text": "",
        "long text": "x" * 70_000,
        "list": [],
        "lists": [[]],
        "map": {},
        "-1": -1,
        "0": 0,
        "1.5": 1.5,
        "NaN": math.nan,
        "infinity": math.inf,
        "-2**63": -(2**63),
        "2**40": 2**40,
        "2**63-2": 2**63 - 2,
        "2**63-1": 2**63 - 1,
        "2**63": 2**63,
        "2**64-1": 2**64 - 1,
    }
    raw = {name: msgspec.Raw(msgspec.msgpack.encode(v)) for name, v in values.items()}
    raw.update(_nested_values())
    raw["not UTF-8"] = msgspec.Raw(b"\xa2\xff\xfe")
    shapes.update({name: bytes(value) for name, value in raw.items()})
    for path in _paths(base):
        shapes[f"without {path}"] = msgspec.msgpack.encode(_changed(base, path))
        for name, value in raw.items():
            shapes[f"{path} = {name}"] = msgspec.msgpack.encode(
                _changed(base, path, value)
            )
    shapes.update(_with_unknown_field(base, raw))
    return shapes


def deeply_nested_records(base: dict | list) -> dict[str, bytes]:
    """Return msgpack values with a deeply nested part, by description."""
    nested = _nested_values()
    shapes = {name: bytes(value) for name, value in nested.items()}
    return {**shapes, **_with_unknown_field(base, nested)}


def _nested_values() -> dict[str, msgspec.Raw]:
    """Return lists and maps of one item, nested."""
    raw = {}
    for depth in DEPTHS:
        raw[f"{depth} lists"] = msgspec.Raw(b"\x91" * depth + b"\x01")
        raw[f"{depth} maps"] = msgspec.Raw(b"\x81\xa1a" * depth + b"\x01")
        raw[f"{depth} open lists"] = msgspec.Raw(b"\x91" * depth)
    return raw


def _with_unknown_field(base: dict | list, values: dict[str, msgspec.Raw]):
    """Return the record with an unknown field or item that has the values."""
    shapes = {}
    for name, value in values.items():
        longer = {**base, "odd": value} if isinstance(base, dict) else [*base, value]
        encoded = msgspec.msgpack.encode(longer)
        shapes[f"{name} in an unknown field"] = encoded
    return shapes


def _paths(base, before: tuple = ()):
    """Yield the path of each field, also of those inside fields."""
    items = base.items() if isinstance(base, dict) else enumerate(base)
    for key, value in items:
        yield (*before, key)
        if isinstance(value, (dict, list)):
            yield from _paths(value, (*before, key))


def _changed(base, path: tuple, *values):
    """Return a copy with the value at a path, or without the field."""
    copy = dict(base) if isinstance(base, dict) else list(base)
    key, *rest = path
    if rest:
        copy[key] = _changed(base[key], tuple(rest), *values)
    elif values:
        copy[key] = values[0]
    else:
        del copy[key]
    return copy


def _replace(base: dict, path: tuple, text: str) -> bytes:
    encoded = json.dumps(_changed(base, path, MARK))
    return encoded.replace(json.dumps(MARK), text).encode()


def _remove(base: dict, path: tuple) -> bytes:
    return json.dumps(_changed(base, path)).encode()
