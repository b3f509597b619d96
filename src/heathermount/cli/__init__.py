"""Thin command lines over plain functions."""
