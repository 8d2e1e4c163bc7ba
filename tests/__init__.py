"""Tests of pollenmast: one file a module."""
