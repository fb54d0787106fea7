"""The replicated state machine of the control group, and its view on entry hosts."""
