//! Limit of what an upstream may send before the head of its response is complete.
//!
//! A head has a limit of its own, but any number of informational responses may come before it.

use std::{cell::Cell, io, rc::Rc};

/// Bytes after which an incomplete head, with the informational responses before it, is given up.
const MAX_HEAD_BYTES: usize = 128 << 10;

/// Whether a connection reads a head, and how much of it may still come. Clones share the state.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeadLimit {
    left_bytes: Rc<Cell<Option<usize>>>,
}

impl HeadLimit {
    /// Starts to count what comes for a head.
    pub(crate) fn start(&self) {
        self.left_bytes.set(Some(MAX_HEAD_BYTES));
    }

    /// Ends the limit, since the head is complete.
    pub(crate) fn end(&self) {
        self.left_bytes.set(None);
    }

    /// Counts read bytes.
    pub(crate) fn count(&self, read_bytes: usize) {
        let left_bytes = self.left_bytes.get();
        self.left_bytes.set(left_bytes.map(|left| left.saturating_sub(read_bytes)));
    }

    /// Checks that more may be read.
    ///
    /// # Errors
    /// Fails if the head has reached its limit.
    pub(crate) fn check(&self) -> io::Result<()> {
        if self.left_bytes.get() == Some(0) {
            return Err(io::Error::other("too many bytes before a response head"));
        }
        Ok(())
    }
}
