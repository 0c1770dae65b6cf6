//! Entry point of `bluebell`.

fn main() {}
