//! Not built yet.

fn main() {}
