//! Entry point of `standin-service`.

fn main() {}
