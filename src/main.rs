//! The `chervilwind` program: starts what the command line asks for.

fn main() {}
