//! Entry point of `standin-engine`.

fn main() {}
