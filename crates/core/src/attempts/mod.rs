//! One request's attempts: what was sent, and whether it may have run.
