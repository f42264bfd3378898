//! Client of the platform's object API: versions, watches, leases and the machine list.
