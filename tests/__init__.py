"""Tests of pollenmast, one file for each module under test."""
