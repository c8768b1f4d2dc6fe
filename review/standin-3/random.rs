//! Random numbers, good enough for ports, sequence numbers and pauses.

use std::cell::Cell;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};

thread_local! {
    static STATE: Cell<u64> = Cell::new(RandomState::new().build_hasher().finish() | 1);
}

pub fn word() -> u32 {
    STATE.with(|state| {
        let mut x = state.get();
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        state.set(x);
        (x >> 24) as u32
    })
}

pub fn below(end: u32) -> u32 {
    word() % end.max(1)
}
