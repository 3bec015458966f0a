//! The memory that the jobs of all owners of a node take up.
//!
//! An owner keeps the items and results of its jobs until their retention ends. A node that holds as much
//! as it may accepts no more jobs; those that it takes over from other owners are kept in any case.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// The memory of all owners together.
pub struct Memory {
    max_bytes: usize,
    held: AtomicUsize,
}

/// The part of one owner, which is given back when it is dropped.
pub struct Part {
    memory: Arc<Memory>,
    bytes: usize,
}

impl Memory {
    pub fn new(max_bytes: usize) -> Arc<Memory> {
        Arc::new(Memory { max_bytes, held: AtomicUsize::new(0) })
    }

    /// The part of an owner, which holds nothing yet.
    pub fn part(self: &Arc<Memory>) -> Part {
        Part { memory: Arc::clone(self), bytes: 0 }
    }
}

impl Part {
    /// Records how many bytes the owner holds.
    pub fn set(&mut self, bytes: usize) {
        self.memory.held.fetch_add(bytes, Ordering::Relaxed);
        self.memory.held.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = bytes;
    }

    /// Whether all owners together may hold `more` bytes.
    pub fn has_room(&self, more: usize) -> bool {
        self.memory.held.load(Ordering::Relaxed).saturating_add(more) <= self.memory.max_bytes
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        self.set(0);
    }
}
