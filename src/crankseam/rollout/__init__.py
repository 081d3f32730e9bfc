"""Generates the samples of training steps and delivers each sample to its trainer exactly once."""
