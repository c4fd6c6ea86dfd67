"""Regenerates the data classes under ``generated`` from the schemas in this folder."""

from __future__ import annotations

from pathlib import Path

from datamodel_code_generator import InputFileType
from datamodel_code_generator import LiteralType
from datamodel_code_generator import PythonVersion
from datamodel_code_generator import generate
from datamodel_code_generator.enums import DataModelType
from datamodel_code_generator.enums import StrictTypes

SCHEMA_DIRECTORY = Path(__file__).parent
GENERATED_DIRECTORY = SCHEMA_DIRECTORY / "generated"
SCHEMA_NAMES = ("settings", "process", "messages")


def generate_module(name: str) -> None:
    """Write ``generated/<name>.py`` from ``<name>.schema.json``."""
    generate(
        input_=SCHEMA_DIRECTORY / f"{name}.schema.json",
        input_file_type=InputFileType.JsonSchema,
        output=GENERATED_DIRECTORY / f"{name}.py",
        output_model_type=DataModelType.DataclassesDataclass,
        target_python_version=PythonVersion.PY_311,
        frozen_dataclasses=True,
        keyword_only=True,
        strict_nullable=True,
        use_union_operator=True,
        use_standard_collections=True,
        use_generic_container_types=True,
        use_schema_description=True,
        use_field_description=True,
        disable_timestamp=True,
        enum_field_as_literal=LiteralType.All,
        custom_file_header=f'"""Data classes generated from {name}.schema.json."""',
        strict_types=[StrictTypes.str],
    )


def main() -> None:
    """Regenerate every module."""
    for name in SCHEMA_NAMES:
        generate_module(name)


if __name__ == "__main__":
    main()
