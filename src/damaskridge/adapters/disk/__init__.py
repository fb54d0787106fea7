"""Files of the control group: synced and checksummed."""
