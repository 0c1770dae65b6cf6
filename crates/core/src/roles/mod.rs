//! Which engines do prefill, decode or both.
