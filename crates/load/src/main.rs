//! Entry point of `bluebell-load`.

fn main() {}
