//! Entry point of `bluebell-entry`.

fn main() {}
