//! Entry point of `bluebell-lab`.

fn main() {}
