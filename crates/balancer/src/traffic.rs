//! Threads that forward callers' packets to agents.
