//! To be filled.
