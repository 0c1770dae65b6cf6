//! Entry point of `standin-platform`.

fn main() {}
