"""The callers' HTTP interface and the operators' port."""
