//! Limit of the memory that response bodies take while they are buffered.

use std::cell::Cell;

/// Bytes that every body may take, whatever others take.
const OWN_BYTES: usize = 64 << 10;
/// Bytes that all bodies together may take beyond that.
const SHARED_BYTES: usize = 12 << 20;

/// Memory that the buffered bodies of a process share.
#[derive(Debug)]
pub struct BufferBudget {
    free_bytes: Cell<usize>,
}

impl Default for BufferBudget {
    fn default() -> Self {
        Self { free_bytes: Cell::new(SHARED_BYTES) }
    }
}

/// Part of the shared memory that one body takes, returned when dropped.
#[derive(Debug)]
pub struct BufferGuard<'a> {
    budget: &'a BufferBudget,
    taken_bytes: usize,
}

impl BufferBudget {
    /// Starts to count one body.
    pub fn start(&self) -> BufferGuard<'_> {
        BufferGuard { budget: self, taken_bytes: 0 }
    }
}

impl BufferGuard<'_> {
    /// Takes memory until the body has `body_bytes`; returns whether there is enough.
    pub fn grow_to(&mut self, body_bytes: usize) -> bool {
        let wanted = body_bytes.saturating_sub(OWN_BYTES + self.taken_bytes);
        let Some(left) = self.budget.free_bytes.get().checked_sub(wanted) else { return false };
        self.budget.free_bytes.set(left);
        self.taken_bytes += wanted;
        true
    }
}

impl Drop for BufferGuard<'_> {
    fn drop(&mut self) {
        self.budget.free_bytes.set(self.budget.free_bytes.get() + self.taken_bytes);
    }
}
