"""The life cycle of a request on its front."""
