//! Entry point of `citronhollow-agent`.

fn main() {}
