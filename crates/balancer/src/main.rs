//! Entry point of `citronhollow`.

fn main() {}
