"""The version of this build."""

VERSION = "0.1.0"
