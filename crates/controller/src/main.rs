//! Entry point of `bluebell-controller`.

fn main() {}
