"""The life cycle of one request on its front."""
