"""Tests of the fair shares of accounts."""
