"""Client of the platform's list of live and leaving backend servers."""
