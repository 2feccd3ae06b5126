"""Generate the attrs classes of rampwick_schema from the files in schema/.

Run ``python tools/generate_schema.py`` after a change to a schema file and
commit the result. ``--check`` writes nothing and fails if a file is out of date.
"""

import argparse
import subprocess
import sys
import tomllib
from pathlib import Path

import jinja2

ROOT = Path(__file__).resolve().parent.parent
SCHEMA_DIR = ROOT / "schema"
TARGET_DIR = ROOT / "packages/rampwick-schema/src/rampwick_schema"
REFERENCE = ROOT / "docs/settings.md"

# Generated modules with the modules they import, dependencies first.
MODULES = {
    "settings": [],
    "routing": [],
    "tree": ["routing"],
    "platform": [],
    "upstream": [],
    "peer": ["platform", "tree"],
}

# The name of a number ends in its unit, except for these counters and pure numbers.
UNIT_SUFFIXES = (
    "_seconds",
    "_bytes",
    "_tokens",
    "_count",
    "_ratio",
    "_per_second",
    "_per_token",
    "_port",
    "_factor",
    "_price",
    "_version",
    "_number",
)
PURE_NUMBERS = {"weight", "revision", "after_revision", "sequence", "version"}
PURE_NUMBERS |= {"incarnation", "priority_rank", "store_era"}

MODULE_TEMPLATE = '''\
"""{{ title }}

Generated from schema/{{ name }}.toml by tools/generate_schema.py; do not edit.
"""

from __future__ import annotations

from typing import ClassVar

import attrs
{% if imports %}
from ._validators import one_of, within
{% else %}
from ._validators import one_of, within
{% endif %}
from ._repr_mixin import ReprMixin
{% for module in imports %}
from ._generated_{{ module }} import {{ imports[module] | join(", ") }}
{% endfor %}

{% for cls in classes %}

@attrs.frozen(repr=False)
class {{ cls.name }}(ReprMixin):
    """{{ cls.doc }}"""

{% if cls.code %}
    CODE: ClassVar[int] = {{ cls.code }}

{% endif %}
{% for field in cls.fields %}
    #: {{ field.doc }}
    {{ field.name }}: {{ field.type }}{{ field.definition }}
{% endfor %}
{% endfor %}

{% if codes %}
#: Classes by the code that starts their message.
MESSAGES: dict[int, type] = {
{% for cls in codes %}
    {{ cls.name }}.CODE: {{ cls.name }},
{% endfor %}
}
{% endif %}
'''


class SchemaError(Exception):
    """Raised if a schema file is invalid; the message names file, class and field."""


def main():
    """Generate or check all files; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="write nothing")
    arguments = parser.parse_args()
    stale = []
    for path, text in generate_all().items():
        if path.exists() and path.read_text() == text:
            continue
        if arguments.check:
            stale.append(path)
        else:
            path.write_text(text)
    for path in stale:
        print(f"out of date: {path.relative_to(ROOT)}", file=sys.stderr)
    return 1 if stale else 0


def generate_all():
    """Return the text of every generated file by its path."""
    schemas = {name: read_schema(name) for name in MODULES}
    texts = {}
    for name, imports in MODULES.items():
        path = TARGET_DIR / f"_generated_{name}.py"
        texts[path] = format_code(render_module(name, schemas, imports))
    texts[REFERENCE] = render_reference(schemas["settings"])
    return texts


def read_schema(name):
    """Return the classes of a schema file; raise SchemaError if it is invalid."""
    with (SCHEMA_DIR / f"{name}.toml").open("rb") as stream:
        classes = tomllib.load(stream)
    for class_name, definition in classes.items():
        for field in definition["fields"]:
            check_unit(name, class_name, field)
    return classes


def check_unit(file_name, class_name, field):
    """Raise SchemaError if the name of a numeric field has no unit suffix."""
    is_number = field["type"].split(" ")[0] in {"int", "float"}
    has_unit = field["name"].endswith(UNIT_SUFFIXES) or field["name"] in PURE_NUMBERS
    if is_number and not has_unit:
        where = f"schema/{file_name}.toml: {class_name}.{field['name']}"
        raise SchemaError(f"{where}: a number's name must end in its unit")


def render_module(name, schemas, imports):
    """Return the unformatted Python text of one module."""
    environment = jinja2.Environment(trim_blocks=True, lstrip_blocks=True)
    classes = [
        {
            "name": class_name,
            "doc": definition["doc"],
            "code": definition.get("code"),
            "fields": [render_field(field) for field in definition["fields"]],
        }
        for class_name, definition in schemas[name].items()
    ]
    with (SCHEMA_DIR / f"{name}.toml").open() as stream:
        title = stream.readline().removeprefix("# ").strip()
    return environment.from_string(MODULE_TEMPLATE).render(
        name=name,
        title=title,
        classes=classes,
        codes=[cls for cls in classes if cls["code"]],
        imports={module: used_names(name, module, schemas) for module in imports},
    )


def used_names(name, module, schemas):
    """Return the classes of ``module`` that schema ``name`` refers to."""
    types = " ".join(
        field["type"]
        for definition in schemas[name].values()
        for field in definition["fields"]
    )
    return [cls for cls in schemas[module] if cls in types]


def render_field(field):
    """Return a field with its right-hand side as Python text."""
    return {**field, "definition": render_definition(field)}


def render_definition(field):
    """Return `` = attrs.field(...)`` for one field, or nothing."""
    parts = []
    if "default_factory" in field:
        parts.append(f"factory={field['default_factory']}")
    elif field.get("default") == []:
        parts.append("factory=list")
    elif field.get("default") == "None":
        parts.append("default=None")
    elif "default" in field:
        parts.append(f"default={field['default']!r}")
    if "min" in field or "max" in field:
        low, high = field.get("min"), field.get("max")
        parts.append(f"validator=within({low!r}, {high!r})")
    if "allowed" in field:
        parts.append(f"validator=one_of({field['allowed']!r})")
    return f" = attrs.field({', '.join(parts)})" if parts else ""


def format_code(text):
    """Return the text as ruff formats it, imports sorted and unused ones gone."""
    command = [sys.executable, "-m", "ruff"]
    name = "packages/rampwick-schema/src/rampwick_schema/_generated.py"
    fixes = ["check", "--fix-only", "--quiet", "--select", "F401,I"]
    for arguments in (fixes, ["format", "--quiet"]):
        completed = subprocess.run(
            [*command, *arguments, "--stdin-filename", name, "-"],
            input=text,
            capture_output=True,
            text=True,
            check=True,
            cwd=ROOT,
        )
        text = completed.stdout
    return text


def render_reference(classes):
    """Return docs/settings.md: each table and key of the settings file."""
    lines = ["# Settings reference", ""]
    lines.append("Generated from `schema/settings.toml`; do not edit.")
    for field in classes["Settings"]["fields"]:
        definition = classes[field["type"]]
        lines += ["", f"## `[{field['name']}]`", "", definition["doc"], ""]
        lines += [
            "| key | type | default | allowed | meaning |",
            "|---|---|---|---|---|",
        ]
        lines += [reference_row(item) for item in definition["fields"]]
    return "\n".join(lines) + "\n"


def reference_row(field):
    """Return one table row for a key."""
    default = field.get("default", "required")
    allowed = f"{field['min']} to {field['max']}" if "max" in field else ""
    return (
        f"| `{field['name']}` | {field['type']} | `{default!r}` | {allowed} "
        f"| {field['doc']} |"
    )


if __name__ == "__main__":
    sys.exit(main())
