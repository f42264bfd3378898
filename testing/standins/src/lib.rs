//! Small stand-ins for the outside: platform, back end and caller.
