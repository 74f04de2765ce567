"""The cardamomctl command line for operators."""
