//! Entry point of `bluebell-embedded`.

fn main() {}
